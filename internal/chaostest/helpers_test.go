package chaostest

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// buildProgram builds one of the commands and returns the executable. It also sets TMPDIR, so that logs that a run keeps are
// removed with the test.
func buildProgram(t *testing.T, command string, flags ...string) string {
	t.Helper()
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	name := filepath.Join(dir, command)
	args := append(append([]string{"build"}, flags...), "-o", name, "hollymast/cmd/"+command)
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return name
}
