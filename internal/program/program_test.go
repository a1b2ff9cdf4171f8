package program

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"testing"

	"hollymast/internal/inifile"
)

// ends are the ways in which a program may end, by name.
var ends = map[string]struct {
	err  error
	code int
}{
	"success":               {nil, 0},
	"failure":               {errors.New("rule 1"), 1},
	"usage error":           {UsageError{errors.New("no such router")}, 2},
	"missing file":          {fmt.Errorf("settings: %w", os.ErrNotExist), 2},
	"invalid configuration": {&inifile.ValidationError{Problems: []string{"a.ini:3: cold: no span of time"}}, 2},
}

const endVariable = "PROGRAM_TEST_END"

// TestMain ends this process as Exit does where a test started it for that.
func TestMain(m *testing.M) {
	if name := os.Getenv(endVariable); name != "" {
		Exit("program", ends[name].err)
	}
	os.Exit(m.Run())
}

// Scripts and unit files go by the exit codes: these stay.
func TestExitCodes(t *testing.T) {
	for name, end := range ends {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), endVariable+"="+name)
		err := cmd.Run()
		var failed *exec.ExitError
		if err != nil && !errors.As(err, &failed) {
			t.Fatal(err)
		}
		if got := cmd.ProcessState.ExitCode(); got != end.code {
			t.Errorf("%s: exit code %d, want %d", name, got, end.code)
		}
	}
}
