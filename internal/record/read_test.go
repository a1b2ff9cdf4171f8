package record

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// A recording of the older format, by a build that wrote it, is read.
func TestOlderFormatIsRead(t *testing.T) {
	s, err := OpenSegment("testdata/format1.rec")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	steps, requests := 0, 0
	err = s.ForEachStep(func(_ uint64, step Step) error {
		steps++
		for _, n := range step.Events {
			if n.Added != nil {
				requests++
			}
		}
		return nil
	})
	if err != nil || s.Version != 1 || steps != 314 || requests != 151 {
		t.Errorf("format %d, %d steps, %d requests, %v", s.Version, steps, requests, err)
	}
}

func TestNewerVersionIsRefused(t *testing.T) {
	b, err := appendFrame([]byte(magic), Header{Version: Version + 1})
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "n.rec")
	if err := os.WriteFile(name, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenSegment(name); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("got %v", err)
	}
}
