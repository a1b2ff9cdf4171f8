package chaostest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hollymast/internal/explain"
	"hollymast/internal/record"
	"hollymast/internal/replay"
)

// Replaying and explaining the recordings of real routers under faults must give the same decisions as the routers made.
func TestRecordedRunIsReplayedAndExplained(t *testing.T) {
	s := &Scenario{Seed: 3, Calls: 1200, Length: 4 * time.Second, Routers: 2, Workers: 6, Functions: 8, LimitLoadRate: true, RecordDir: t.TempDir(), RouterState: StateComplete,
		Faults: []Fault{{Kind: FaultHang, At: 500 * time.Millisecond, Duration: time.Second, Target: 1},
			{Kind: FaultCrash, At: time.Second, Duration: 500 * time.Millisecond, Target: 2},
			{Kind: FaultRouterKill, At: 2 * time.Second, Duration: 200 * time.Millisecond, Target: 1}}}
	if _, err := Run(context.Background(), s, buildProgram(t, "hollymast")); err != nil {
		t.Fatal(err)
	}
	for _, router := range []string{"router-0", "router-1"} {
		files, err := record.ListSegments(filepath.Join(s.RecordDir, router))
		if err != nil {
			t.Fatal(err)
		}
		result, err := replay.Play(files, replay.Options{})
		if err != nil || result.LostSteps > 0 || result.Commands < 500 {
			t.Errorf("%s: replay gave %+v, %v", router, result, err)
		}
		if n, err := explain.VerifyAll(files); err != nil || n < 300 {
			t.Errorf("%s: %d explained, %v", router, n, err)
		}
		checkAlteredBuildDiffers(t, files)
	}
}

// checkAlteredBuildDiffers replays a recording with a build of hmreplay in which one constant of the balancer is changed. It must
// report the first command that differs, which is the timer of the first maintenance.
func checkAlteredBuildDiffers(t *testing.T, files []string) {
	t.Helper()
	const constant = "const maintenanceInterval = 200_00"
	source, err := filepath.Abs("../../control/maintenance.go")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(source)
	if err != nil || !strings.Contains(string(text), constant+"0") {
		t.Fatalf("maintenance.go doesn't contain the constant: %v", err)
	}
	dir := t.TempDir()
	altered, overlay := filepath.Join(dir, "maintenance.go"), filepath.Join(dir, "overlay.json")
	replacement, err := json.Marshal(map[string]map[string]string{"Replace": {source: altered}})
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range map[string][]byte{altered: []byte(strings.Replace(string(text), constant+"0", constant+"1", 1)), overlay: replacement} {
		if err := os.WriteFile(name, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	program := buildProgram(t, "hmreplay", "-overlay", overlay)
	want := firstTimerDifference(t, files[0])
	out, err := exec.Command(program, files...).Output()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 || want == "" || !strings.Contains(string(out), want) {
		t.Errorf("got %v and %s; want %q", err, out, want)
	}
}

// firstTimerDifference returns what hmreplay must print: the first timer for the maintenance interval as recorded, and as the
// altered build sets it. It is empty if the recording has no such timer.
func firstTimerDifference(t *testing.T, file string) string {
	t.Helper()
	s, err := record.OpenSegment(file)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	difference, errFound := "", errors.New("found")
	s.ForEachStep(func(n uint64, step record.Step) error {
		for _, c := range step.Commands {
			if c.Kind == record.CommandSetTimer && c.Time == step.Clock+200_000 {
				difference = fmt.Sprintf("turn %d at %d us, job 0: then %q, now %q", n, step.Clock, c, record.Command{Kind: record.CommandSetTimer, Time: c.Time + 1})
				return errFound
			}
		}
		return nil
	})
	return difference
}
