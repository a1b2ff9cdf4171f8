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
	Span      int64 // of a row
	Retention int64 // after it a row is merged into the next level's, or dropped
}

// Levels are the resolutions, finest first. Two days of minutes show an incident and the same hour of the day before, three months of
// hours show weeks, three years of days show seasons.
var Levels = []Level{{"minute", Minute, 2 * Day}, {"hour", Hour, 92 * Day}, {"day", Day, 3 * 365 * Day}}

// compactionSteps are the spans by which each level is shortened beyond the bound of rows.
var compactionSteps = []int64{Hour, 7 * Day, 30 * Day}

// CompactionCutoffs returns, by level, the time before which rows go to the next level (of the last level: are dropped), given how many rows the
// levels hold and how many may be kept in all. Rows go by age. Beyond the bound the finest level that can be is shortened too, by hours,
// then the next by weeks, then the last by months. Oldest is the time of each level's oldest row, 0 of an empty one.
func CompactionCutoffs(now int64, rows, oldest []int64, maxRows int64) []int64 {
	horizons := make([]int64, len(Levels))
	total := int64(0)
	for i, l := range Levels {
		span := l.Span
		if i+1 < len(Levels) { // whole spans of the next level
			span = Levels[i+1].Span
		}
		horizons[i] = (now - l.Retention) / span * span
		total += rows[i]
	}
	if total <= maxRows {
		return horizons
	}
	for i, step := range compactionSteps {
		// The present span of the next level is never cut.
		if rows[i] > 0 && oldest[i]+step < now-step {
			horizons[i] = max(horizons[i], (oldest[i]/step+1)*step)
			break
		}
	}
	return horizons
}
