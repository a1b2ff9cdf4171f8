package record

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
)

func TestOldestSegmentsAreRemoved(t *testing.T) {
	dir := t.TempDir()
	w := &Writer{dir: dir, limits: Limits{SegmentBytes: 100, TotalBytes: 1000}, header: Header{Incarnation: "a"}, log: zerolog.Nop()}
	for i := range 20 {
		if err := os.WriteFile(filepath.Join(dir, string(rune('a'+i))+"-000000.rec"), make([]byte, 100), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	w.pruneSegments()
	if files, _ := ListSegments(dir); len(files) != 9 {
		t.Errorf("%d segments are left, want 9", len(files))
	}
}
