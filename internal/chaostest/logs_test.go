package chaostest

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hollymast/internal/invariant"
)

// The logs of a run that failed or violated an invariant are kept, and the error or the result names their folder. The logs of
// other runs are removed.
func TestLogsAreKeptAndNamed(t *testing.T) {
	passed := &invariant.Report{Rules: []*invariant.Rule{{}}}
	violated := &invariant.Report{Rules: []*invariant.Rule{{ViolationCount: 1}}}
	failure := errors.New("failed")
	for name, c := range map[string]struct {
		report          *invariant.Report
		err             error
		cancelled, kept bool
	}{
		"passed":    {report: passed},
		"violated":  {report: violated, kept: true},
		"failed":    {err: failure, kept: true},
		"cancelled": {err: failure, cancelled: true},
	} {
		dir := filepath.Join(t.TempDir(), "logs")
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		var result *Result
		if c.report != nil {
			result = &Result{Report: c.report}
		}
		err := keepLogs(dir, result, c.err, c.cancelled)
		if !errors.Is(err, c.err) {
			t.Errorf("%s: got %v", name, err)
		}
		if _, statErr := os.Stat(dir); (statErr == nil) != c.kept {
			t.Errorf("%s: state of the folder: %v", name, statErr)
		}
		named := err != nil && strings.Contains(err.Error(), dir) || result != nil && result.LogDir() == dir
		if named != c.kept {
			t.Errorf("%s: folder named: %t", name, named)
		}
	}
}
