package golden

import (
	"fmt"
	"reflect"
)

// Fill sets all exported fields of the value that v points to, at any depth, to nonzero values that are mostly distinct. Slices get two
// elements. Fields with the tag golden:"joined" stay zero: these are optional fields that were added after the golden file was written, so
// that the file still checks the form without them. Each such field needs its own golden file.
func Fill(v any) {
	f := filler{}
	f.fill(reflect.ValueOf(v).Elem())
}

// filler counts the scalar values that it has set.
type filler struct{ count int64 }

func (f *filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() && field.Tag.Get("golden") != "joined" {
				f.fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fillElements(v)
	case reflect.Array:
		f.fillElements(v)
	default:
		f.count++
		f.fillScalar(v)
	}
}

func (f *filler) fillElements(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

// int8Values is the number of different values used for 8-bit integers. They repeat after that.
const int8Values = 100

func (f *filler) fillScalar(v reflect.Value) {
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprint("text ", f.count))
	case v.CanFloat():
		v.SetFloat(float64(f.count) + 0.5)
	case v.Kind() == reflect.Int8:
		v.SetInt(f.count%int8Values + 1)
	case v.CanInt():
		v.SetInt(f.count)
	case v.Kind() == reflect.Uint8:
		v.SetUint(uint64(f.count%int8Values + 1))
	case v.CanUint():
		v.SetUint(uint64(f.count))
	default:
		panic(fmt.Sprintf("golden: no value for a %s", v.Type()))
	}
}
