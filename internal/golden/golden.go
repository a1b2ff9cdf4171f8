// Package golden holds what is stored against files that an earlier build wrote: a field that is renamed without a tag of its old
// name would read as zero, silently. It serves tests only.
package golden

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// updateVariable is the environment variable that has Check write its file. It is for new stored forms only: a file that
// an earlier build wrote stays as it is.
const updateVariable = "GOLDEN_WRITE"

// Fill sets each exported field that v points to, at any depth, to a value of its own that is not zero; slices get two elements.
func Fill(v any) {
	f := filler{}
	f.fill(reflect.ValueOf(v).Elem())
}

// filler counts the values that it has given.
type filler struct{ n int64 }

func (f *filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.elements(v)
	case reflect.Array:
		f.elements(v)
	default:
		f.n++
		f.scalar(v)
	}
}

func (f *filler) elements(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

func (f *filler) scalar(v reflect.Value) {
	const smallest = 100 // fits all integer types
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprint("text ", f.n))
	case v.CanFloat():
		v.SetFloat(float64(f.n) + 0.5)
	case v.Kind() == reflect.Int8:
		v.SetInt(f.n%smallest + 1)
	case v.CanInt():
		v.SetInt(f.n)
	case v.Kind() == reflect.Uint8:
		v.SetUint(uint64(f.n%smallest + 1))
	case v.CanUint():
		v.SetUint(uint64(f.n))
	default:
		panic(fmt.Sprintf("golden: no value for a %s", v.Type()))
	}
}

// Check holds a value against the file testdata/name: it is encoded to the same bytes, and these are decoded to the same value.
// Decoded points to a zero value of its type.
func Check(t testing.TB, name string, value any, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	t.Helper()
	path := filepath.Join("testdata", name)
	now, err := encode(value)
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv(updateVariable) != "" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, now, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(now, stored) {
		t.Errorf("%s: this build writes other bytes than those stored", path)
	}
	read := reflect.New(reflect.TypeOf(value).Elem())
	if err := decode(stored, read.Interface()); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if !reflect.DeepEqual(read.Interface(), value) {
		t.Errorf("%s: read as %+v, want %+v", path, read.Elem(), reflect.ValueOf(value).Elem())
	}
}

// Untagged names the exported fields, at any depth of a type, whose stored name is not written out in a tag.
func Untagged(t reflect.Type) []string {
	var missing []string
	walk(t, map[reflect.Type]bool{}, &missing)
	return missing
}

func walk(t reflect.Type, seen map[reflect.Type]bool, missing *[]string) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		walk(t.Elem(), seen, missing)
	case reflect.Struct:
		if seen[t] {
			return
		}
		seen[t] = true
		for i := range t.NumField() {
			f := t.Field(i)
			if !f.IsExported() {
				continue
			}
			if !f.Anonymous && !storedByPosition(t) && !named(f.Tag) {
				*missing = append(*missing, t.String()+"."+f.Name)
			}
			walk(f.Type, seen, missing)
		}
	}
}

// storedByPosition tells of a struct whose fields are stored in their order, without names.
func storedByPosition(t reflect.Type) bool {
	f, ok := t.FieldByName("_")
	return ok && strings.Contains(f.Tag.Get("cbor"), "toarray")
}

func named(tag reflect.StructTag) bool {
	for _, key := range []string{"cbor", "json"} {
		if name, _, _ := strings.Cut(tag.Get(key), ","); name != "" {
			return true
		}
	}
	return false
}
