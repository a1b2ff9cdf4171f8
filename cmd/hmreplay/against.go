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

// compareWithBuild runs another build's hmreplay on the same segments and compares the first difference that each build has from the
// recording. The builds decide the same if these differences are equal, or if neither has any.
func (c cli) compareWithBuild(files []string, difference *replay.Difference) error {
	args := []string{"--from", strconv.FormatUint(c.From, 10), "--until", strconv.FormatUint(c.Until, 10), "--job",
		strconv.FormatUint(c.Job, 10)}
	out, err := exec.Command(c.Against, append(args, files...)...).Output()
	var exit *exec.ExitError
	if err != nil && (!errors.As(err, &exit) || exit.ExitCode() != program.ExitFailure) {
		return program.UsageError{Err: fmt.Errorf("%s: %w", c.Against, err)}
	}
	thisBuild, otherBuild := "", findDifferenceLine(string(out))
	if difference != nil {
		thisBuild = difference.Error()
	}
	if thisBuild == otherBuild {
		fmt.Println("both builds decide the same")
		return nil
	}
	fmt.Printf("this build:  %s\nother build: %s\n", cmp.Or(thisBuild, "as recorded"), cmp.Or(otherBuild, "as recorded"))
	return errors.New("the builds differ")
}

// findDifferenceLine returns the line of hmreplay's output that describes a replay.Difference, or "" if there is none.
func findDifferenceLine(output string) (line string) {
	for l := range strings.Lines(output) {
		if strings.Contains(l, ", now ") || strings.Contains(l, "differs from the checkpoint") {
			line = strings.TrimSpace(l)
		}
	}
	return line
}
