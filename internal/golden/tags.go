package golden

import (
	"reflect"
	"strings"
)

// UntaggedFields returns the exported fields, at any depth of a type, whose stored name is not written out in a cbor or json tag.
func UntaggedFields(t reflect.Type) []string {
	var missing []string
	appendUntagged(t, map[reflect.Type]bool{}, &missing)
	return missing
}

func appendUntagged(t reflect.Type, seen map[reflect.Type]bool, missing *[]string) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		appendUntagged(t.Elem(), seen, missing)
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
			if !f.Anonymous && !storedByPosition(t) && !hasStoredName(f.Tag) {
				*missing = append(*missing, t.String()+"."+f.Name)
			}
			appendUntagged(f.Type, seen, missing)
		}
	}
}

// storedByPosition reports whether a struct's fields are stored in their order, without names.
func storedByPosition(t reflect.Type) bool {
	f, ok := t.FieldByName("_")
	return ok && strings.Contains(f.Tag.Get("cbor"), "toarray")
}

func hasStoredName(tag reflect.StructTag) bool {
	for _, key := range []string{"cbor", "json"} {
		if name, _, _ := strings.Cut(tag.Get(key), ","); name != "" {
			return true
		}
	}
	return false
}
