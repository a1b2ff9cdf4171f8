package chaostest

import (
	"hollymast/internal/record"
	"hollymast/internal/replay"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// recorded measures pairs, one of each while the router records, and replays what it recorded.
func measureRecording(load LoadTest, through func() (LoadResult, error), operate func(target string) error, dir string) (sum LoadResult, err error) {
	jobs, size, took, length := int64(0), int64(0), time.Duration(0), 0.0
	sum.Ratios, err = measurePairs(load.RecordingPairs, func(on bool, pair int) (LoadResult, error) {
		if !on {
			return through()
		}
		folder := filepath.Join(dir, strconv.Itoa(pair))
		if err := operate("/router/record/start?folder=" + folder); err != nil {
			return LoadResult{}, err
		}
		m, err := through()
		if err != nil {
			return m, err
		}
		if err := operate("/router/record/stop"); err != nil {
			return m, err
		}
		files, err := record.ListSegments(folder)
		if err != nil {
			return m, err
		}
		for _, f := range files {
			if info, err := os.Stat(f); err == nil {
				size += info.Size()
			}
		}
		begun := time.Now()
		a, err := replay.Play(files, replay.Range{})
		took += time.Since(begun)
		length += float64(a.Last-a.First) / 1e6
		jobs += m.Requests
		sum.LostSteps += a.LostSteps
		return m, err
	})
	if err == nil {
		sum.RecordedBytes, sum.ReplaySpeed = float64(size)/float64(max(1, jobs)), length/took.Seconds()
	}
	return sum, err
}
