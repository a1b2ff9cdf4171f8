package history

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"hollymast/control"
)

// Histogram holds execution times as the buckets of an HdrHistogram: each bucket's upper bound in microseconds and the number of times in
// it, alternating, in ascending order. Empty buckets are left out, which makes some hundred bytes a row. (The library's own compressed
// form makes much garbage; days with fifteen routers on one machine showed its bursts.)
type Histogram []int64

// The range of execution times in microseconds, and the significant digits of their buckets: 1% is closer than operators need.
const (
	minExecTime       = 1
	maxExecTime       = 24 * 3600 * 1_000_000
	significantDigits = 2
)

// newRecorder returns what newHistogram needs; it is large, and reused.
func newRecorder() *hdrhistogram.Histogram {
	return hdrhistogram.New(minExecTime, maxExecTime, significantDigits)
}

// newHistogram returns the histogram of times. Times out of range count as the nearest in range.
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

// Quantile returns a quantile (0 to 1) in microseconds, as the upper bound of its bucket; 0 if there are no times.
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
