package program

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"testing"

	"hollymast/internal/inifile"
)

// exitCases maps the ways in which a program may end to the error and the exit code.
var exitCases = map[string]struct {
	err  error
	code int
}{
	"success":               {nil, 0},
	"failure":               {errors.New("rule 1"), 1},
	"usage error":           {UsageError{errors.New("no such router")}, 2},
	"missing file":          {fmt.Errorf("settings: %w", os.ErrNotExist), 2},
	"invalid configuration": {&inifile.ValidationError{Problems: []string{"a.ini:3: cold: no span of time"}}, 2},
}

const exitCaseVariable = "PROGRAM_TEST_END"

// TestMain calls Exit if a test started this process with the name of an exit case.
func TestMain(m *testing.M) {
	if name := os.Getenv(exitCaseVariable); name != "" {
		Exit("program", exitCases[name].err)
	}
	os.Exit(m.Run())
}

// Scripts and systemd unit files depend on the exit codes, so they must not change.
func TestExitCodes(t *testing.T) {
	for name, exitCase := range exitCases {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), exitCaseVariable+"="+name)
		err := cmd.Run()
		var failed *exec.ExitError
		if err != nil && !errors.As(err, &failed) {
			t.Fatal(err)
		}
		if got := cmd.ProcessState.ExitCode(); got != exitCase.code {
			t.Errorf("%s: exit code %d, want %d", name, got, exitCase.code)
		}
	}
}
