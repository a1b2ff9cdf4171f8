package persistence

import (
	"reflect"
	"testing"

	"hollymast/internal/golden"
)

// What gateways in service have stored is read, and written in the same form. memory-2 is by one that knew of no clock.
func TestStoredForm(t *testing.T) {
	kept := &State{}
	golden.Fill(kept)
	former := *kept
	former.Clock = nil
	for name, value := range map[string]*State{"memory-2": &former, "memory-2-clock": kept} {
		golden.Check(t, name, value, func(v any) ([]byte, error) { return Encode(v.(*State)) }, func(b []byte, v any) error {
			read, err := Decode(b)
			if err == nil {
				*v.(*State) = *read
			}
			return err
		})
	}
	if missing := golden.Untagged(reflect.TypeOf(kept)); len(missing) > 0 {
		t.Errorf("stored under the name of a field: %q", missing)
	}
}

// The journal's stored form, with an entry of each kind.
func TestStoredJournal(t *testing.T) {
	entries := make([]Entry, EntryAdmitted-EntryAttempt+1)
	for i := range entries {
		golden.Fill(&entries[i])
		entries[i].Kind = EntryAttempt + EntryKind(i)
	}
	golden.Check(t, "journal-1", &entries, func(v any) ([]byte, error) {
		return appendFrame([]byte(journalMagic), *v.(*[]Entry)), nil
	}, func(b []byte, v any) error {
		read, err := ReadJournal(b)
		*v.(*[]Entry) = read
		return err
	})
}
