package history

// Spans in microseconds.
const (
	Minute = int64(60_000_000)
	Hour   = 60 * Minute
	Day    = 24 * Hour
)

// Level is a resolution of the history. Times are in microseconds.
type Level struct {
	Name      string
	Span      int64 // length of time that a row covers
	Retention int64 // age after which a row is merged into a row of the next level, or dropped
}

// Levels are the resolutions, finest first. Two days of minutes are enough to compare an incident with the same time on the previous day;
// three months of hours show weekly patterns, and three years of days show seasonal ones.
var Levels = []Level{{"minute", Minute, 2 * Day}, {"hour", Hour, 92 * Day}, {"day", Day, 3 * 365 * Day}}

// compactionSteps are the spans, by level, by which a level is shortened while there are too many rows.
var compactionSteps = []int64{Hour, 7 * Day, 30 * Day}

// CompactionCutoffs returns for each level the time before which its rows are merged into the next level, or dropped from the last one.
// The parameters rows and oldest are, by level, the number of rows and the time of the oldest row (0 if there is none). The cutoffs follow
// from each level's retention. If there are more than maxRows rows in total, one level is also shortened by its compaction step: the
// minutes if possible, otherwise the hours, otherwise the days.
func CompactionCutoffs(now int64, rows, oldest []int64, maxRows int64) []int64 {
	cutoffs := make([]int64, len(Levels))
	total := int64(0)
	for i, l := range Levels {
		span := l.Span
		if i+1 < len(Levels) { // only whole spans of the next level are merged
			span = Levels[i+1].Span
		}
		cutoffs[i] = (now - l.Retention) / span * span
		total += rows[i]
	}
	if total <= maxRows {
		return cutoffs
	}
	for i, step := range compactionSteps {
		// Rows within the last step are never merged or dropped.
		if rows[i] > 0 && oldest[i]+step < now-step {
			cutoffs[i] = max(cutoffs[i], (oldest[i]/step+1)*step)
			break
		}
	}
	return cutoffs
}
