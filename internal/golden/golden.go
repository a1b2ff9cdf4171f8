// Package golden compares encoded values with files written by an earlier build. It detects a field that was renamed without a tag for its
// old name, which would be decoded as zero without an error. It is for use in tests only.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// writeEnvVar is the environment variable that makes Check write its file. It is for new stored forms only: files written by an earlier
// build must not be changed.
const writeEnvVar = "GOLDEN_WRITE"

// CheckType checks the stored form of a type. It fills value, which must point to a zero value, checks it against the file testdata/name,
// and requires each field to have its stored name in a tag.
func CheckType(t testing.TB, name string, value any, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	t.Helper()
	Fill(value)
	Check(t, name, value, encode, decode)
	if missing := UntaggedFields(reflect.TypeOf(value)); len(missing) > 0 {
		t.Errorf("%s: stored under the name of a field, without a tag: %q", name, missing)
	}
}

// Check checks a value against the file testdata/name: encoding the value must give the content of the file, and decoding the file must
// give the value. The parameter value is a pointer; decode is called with a pointer to a zero value.
func Check(t testing.TB, name string, value any, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	t.Helper()
	path := filepath.Join("testdata", name)
	encoded, err := encode(value)
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv(writeEnvVar) != "" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, stored) {
		t.Errorf("%s: this build writes other bytes than those in the file", path)
	}
	decoded := reflect.New(reflect.TypeOf(value).Elem())
	if err := decode(stored, decoded.Interface()); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if !reflect.DeepEqual(decoded.Interface(), value) {
		t.Errorf("%s: read as %+v, want %+v", path, decoded.Elem(), reflect.ValueOf(value).Elem())
	}
}
