package history

import (
	"os"
	"path/filepath"
	"testing"
)

// However often a file is corrupt, only one per day is kept, and none that never held a row.
func TestQuarantinedFilesDoNotPileUp(t *testing.T) {
	s := NewStore(filepath.Join(t.TempDir(), "h.db"), 1e6)
	for i, size := range []int{20000, 0, 4096, 16384, 20000, 100000} {
		if err := os.WriteFile(s.path, make([]byte, size), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := s.Quarantine(startOfDay + int64(i)); err != nil {
			t.Fatal(err)
		}
		if _, err := os.Stat(s.path); err == nil {
			t.Error("the corrupt file still exists")
		}
		if files, _ := filepath.Glob(s.path + "*"); len(files) != 1 {
			t.Errorf("after file %d: %q", i, files)
		}
	}
	if err := os.WriteFile(s.path, make([]byte, 20000), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := s.Quarantine(startOfDay + 2*Day); err != nil {
		t.Fatal(err)
	}
	if files, _ := filepath.Glob(s.path + "*"); len(files) != 2 {
		t.Errorf("a day later: %q", files)
	}
}
