package persistence

import (
	"slices"
	"testing"
)

// A corrupt journal is read up to the first corrupt frame and no further.
func TestJournalIsReadUpToFirstCorruptFrame(t *testing.T) {
	entries := testEntries(12)
	b := []byte(journalMagic)
	var ends []int
	for _, frameEntries := range [][]Entry{entries[:1], entries[1:5], entries[5:12]} {
		b = appendFrame(b, frameEntries)
		ends = append(ends, len(b))
	}
	want := func(at int) []Entry {
		switch {
		case at < ends[0]:
			return nil
		case at < ends[1]:
			return entries[:1]
		case at < ends[2]:
			return entries[:5]
		}
		return entries
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
