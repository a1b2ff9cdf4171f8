package main

import (
	"cmp"
	"errors"
	"fmt"
	"os/exec"
	"strconv"
	"strings"

	"hollymast/internal/program"
	"hollymast/internal/replay"
)

// compareBuild has another build's hmreplay play the same segments. Both builds are compared to the recording: they decide alike if they
// first differ from it in the same command, or neither does.
func (c cli) compareBuild(files []string, ours *replay.Difference) error {
	args := []string{"--from", strconv.FormatUint(c.From, 10), "--until", strconv.FormatUint(c.Until, 10), "--job",
		strconv.FormatUint(c.Job, 10)}
	out, err := exec.Command(c.Against, append(args, files...)...).Output()
	var exit *exec.ExitError
	if err != nil && (!errors.As(err, &exit) || exit.ExitCode() != program.ExitFailure) {
		return program.UsageError{Err: fmt.Errorf("%s: %w", c.Against, err)}
	}
	our, their := "", differenceLine(string(out))
	if ours != nil {
		our = ours.Error()
	}
	if our == their {
		fmt.Println("both builds decide the same")
		return nil
	}
	fmt.Printf("this build:  %s\nother build: %s\n", cmp.Or(our, "as recorded"), cmp.Or(their, "as recorded"))
	return errors.New("the builds differ")
}

// differenceLine returns the line of hmreplay's output that is a replay.Difference; empty if there is none.
func differenceLine(output string) (line string) {
	for l := range strings.Lines(output) {
		if strings.Contains(l, ", now ") || strings.Contains(l, "differs from the checkpoint") {
			line = strings.TrimSpace(l)
		}
	}
	return line
}
