package history

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"hollymast/control"
)

// Histogram holds execution times in the buckets of an HdrHistogram: alternating, each bucket's upper bound in microseconds and its count,
// in ascending order. Empty buckets are omitted, so that a row takes a few hundred bytes. The library's own compressed form is not used
// because it creates much garbage, which caused bursts of load when fifteen routers ran on one machine.
type Histogram []int64

// The range of execution times in microseconds, and the significant digits of the buckets' bounds: an error of 1% is more precise than
// operators need.
const (
	minExecTime       = 1
	maxExecTime       = 24 * 3600 * 1_000_000
	significantDigits = 2
)

// newRecorder returns the recorder that newHistogram needs. It is large and should be reused.
func newRecorder() *hdrhistogram.Histogram {
	return hdrhistogram.New(minExecTime, maxExecTime, significantDigits)
}

// newHistogram returns the histogram of the given times. Times out of range are replaced by the nearest value in range.
func newHistogram(recorder *hdrhistogram.Histogram, times []control.Micros) Histogram {
	recorder.Reset()
	for _, t := range times {
		recorder.RecordValue(int64(min(max(t, minExecTime), maxExecTime)))
	}
	var h Histogram
	for _, bucket := range recorder.Distribution() {
		if bucket.Count > 0 {
			h = append(h, bucket.To, bucket.Count)
		}
	}
	return h
}

// Merge returns the histogram of the times in both.
func (h Histogram) Merge(g Histogram) Histogram {
	sum := make(Histogram, 0, len(h)+len(g))
	for len(h) > 1 || len(g) > 1 {
		switch {
		case len(g) < 2 || len(h) > 1 && h[0] < g[0]:
			sum, h = append(sum, h[0], h[1]), h[2:]
		case len(h) < 2 || g[0] < h[0]:
			sum, g = append(sum, g[0], g[1]), g[2:]
		default:
			sum, h, g = append(sum, h[0], h[1]+g[1]), h[2:], g[2:]
		}
	}
	return sum
}

// Quantile returns the quantile q (0 to 1) in microseconds, as the upper bound of its bucket, or 0 if the histogram is empty.
func (h Histogram) Quantile(q float64) int64 {
	total, seen := int64(0), int64(0)
	for i := 1; i < len(h); i += 2 {
		total += h[i]
	}
	for i := 1; i < len(h); i += 2 {
		if seen += h[i]; float64(seen) >= q*float64(total) {
			return h[i-1]
		}
	}
	return 0
}
