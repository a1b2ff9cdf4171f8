package persistence

import (
	"testing"

	"hollymast/internal/golden"
)

func encodeState(v any) ([]byte, error) { return Encode(v.(*State)) }

func decodeState(b []byte, v any) error {
	state, err := Decode(b)
	if err == nil {
		*v.(*State) = *state
	}
	return err
}

// Files stored by earlier builds can be read, and are written in the same form. memory-2 is from a build without Clock.
func TestStoredForm(t *testing.T) {
	state := &State{}
	golden.CheckType(t, "memory-2-clock", state, encodeState, decodeState)
	state.Clock = nil
	golden.Check(t, "memory-2", state, encodeState, decodeState)
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
