package modelcheck

import (
	"os"
	"path/filepath"
	"testing"
)

// Stored traces of fixed bugs no longer lead to a violation.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("traces/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no stored traces found: %v", err)
	}
	for _, name := range files {
		b, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		trace, err := ParseTrace(b)
		if err != nil {
			t.Fatal(err)
		}
		if wrong, after, _ := trace.Replay(&ProductionRules, Properties); wrong != "" {
			t.Errorf("%s fails after %d steps: %s", name, after, wrong)
		}
	}
}
