package chaostest

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"hollymast/internal/record"
	"hollymast/internal/replay"
)

// recordingCost is the total cost of the recordings.
type recordingCost struct {
	requests   int64
	bytes      int64
	recorded   float64 // seconds of recorded time
	replayTime time.Duration
	lostSteps  uint64
}

// measureRecording measures pairs of streams, one of each while the router records, and replays the recordings.
func (run *loadRun) measureRecording(ctx context.Context) error {
	var cost recordingCost
	ratios, err := measurePairs(run.RecordingPairs, func(pair int) (LoadResult, error) {
		dir := filepath.Join(run.dir, "recording", strconv.Itoa(pair))
		if err := callAdmin(ctx, run.admin, "/router/record/start?folder="+dir); err != nil {
			return LoadResult{}, err
		}
		result, err := run.measure(ctx, "router", run.LoadTest, run.plain)
		if err != nil {
			return result, err
		}
		if err := callAdmin(ctx, run.admin, "/router/record/stop"); err != nil {
			return result, err
		}
		cost.requests += result.Requests
		return result, cost.replay(dir)
	}, func(int) (LoadResult, error) {
		return run.measure(ctx, "router", run.LoadTest, run.plain)
	})
	if err != nil {
		return err
	}
	last := run.lastResult()
	last.RecordedBytes = float64(cost.bytes) / float64(max(1, cost.requests))
	last.LostSteps = cost.lostSteps
	last.ReplaySpeed = cost.recorded / cost.replayTime.Seconds()
	last.Ratios = ratios
	return nil
}

// replay replays the recording in a directory and adds its cost.
func (c *recordingCost) replay(dir string) error {
	files, err := record.ListSegments(dir)
	if err != nil {
		return err
	}
	for _, f := range files {
		if info, err := os.Stat(f); err == nil {
			c.bytes += info.Size()
		}
	}
	startedAt := time.Now()
	result, err := replay.Play(files, replay.Options{})
	c.replayTime += time.Since(startedAt)
	c.recorded += float64(result.Last-result.First) / 1e6
	c.lostSteps += result.LostSteps
	return err
}
