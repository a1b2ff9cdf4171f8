package history

// Times are execution times as an HdrHistogram's buckets: each bucket's upper bound in microseconds and how many fell into it,
// by turns, ascending. Only buckets with something in them are kept: some hundred bytes a row. (The library's own compressed
// form costs much garbage, and days with fifteen routers on one machine showed its bursts.)
type Histogram []int64

// The range of execution times in microseconds, and the significant digits of their buckets.
const (
	minExecTime       = 1
	maxExecTime       = 24 * 3600 * 1_000_000
	significantDigits = 2
)

// Merge adds other times.
func (t Histogram) Merge(u Histogram) Histogram {
	sum := make(Histogram, 0, len(t)+len(u))
	for len(t) > 1 || len(u) > 1 {
		switch {
		case len(u) < 2 || len(t) > 1 && t[0] < u[0]:
			sum, t = append(sum, t[0], t[1]), t[2:]
		case len(t) < 2 || u[0] < t[0]:
			sum, u = append(sum, u[0], u[1]), u[2:]
		default:
			sum, t, u = append(sum, t[0], t[1]+u[1]), t[2:], u[2:]
		}
	}
	return sum
}

// Quantile gives a quantile (0 to 1) in microseconds, as the upper bound of its bucket; 0 of none.
func (t Histogram) Quantile(q float64) int64 {
	total, seen := int64(0), int64(0)
	for i := 1; i < len(t); i += 2 {
		total += t[i]
	}
	for i := 1; i < len(t); i += 2 {
		if seen += t[i]; float64(seen) >= q*float64(total) {
			return t[i-1]
		}
	}
	return 0
}
