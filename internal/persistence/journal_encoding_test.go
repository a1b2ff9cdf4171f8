package persistence

import (
	"slices"
	"testing"
)

// A damaged journal is read up to the damage and no further.
func TestJournalIsReadUpToItsDamage(t *testing.T) {
	es := testEntries(12)
	b := []byte(journalMagic)
	var ends []int
	for _, in := range [][]Entry{es[:1], es[1:5], es[5:12]} {
		b = appendFrame(b, in)
		ends = append(ends, len(b))
	}
	want := func(at int) []Entry {
		switch {
		case at < ends[0]:
			return nil
		case at < ends[1]:
			return es[:1]
		case at < ends[2]:
			return es[:5]
		}
		return es
	}
	for cut := range len(b) + 1 {
		whole := slices.Contains(ends, cut) || cut == len(journalMagic)
		if got, err := ReadJournal(b[:cut]); !slices.Equal(got, want(cut)) || (err == nil) != whole {
			t.Fatalf("cut at %d: got %d entries, %v", cut, len(got), err)
		}
	}
	for i := range b {
		for bit := range 8 {
			b[i] ^= 1 << bit
			if got, err := ReadJournal(b); !slices.Equal(got, want(i)) || err == nil {
				t.Fatalf("byte %d, bit %d: got %d entries, %v", i, bit, len(got), err)
			}
			b[i] ^= 1 << bit
		}
	}
}
