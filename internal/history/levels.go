package history

// Spans in microseconds.
const (
	Minute = int64(60_000_000)
	Hour   = 60 * Minute
	Day    = 24 * Hour
)

// Level is a step of the history: rows of one length, kept for a time.
type Level struct {
	Name      string
	Span      int64
	Retention int64 // after it a row is merged into the next level's, or dropped
}

// Levels are the history's steps, finest first. Two days of minutes show an incident and the same hour of the day before; a
// quarter of hours shows weeks; three years of days show seasons.
var Levels = []Level{{"minute", Minute, 2 * Day}, {"hour", Hour, 92 * Day}, {"day", Day, 3 * 365 * Day}}

// Horizons decides from when on each level's rows stay as they are, at a time, where the levels hold these rows and most
// may be kept in all: by age, and beyond that bound a day's rows of the finest level at a time go to the next, then those
// of the middle one by weeks, then the oldest days. Oldest gives each level's oldest row; Day or 0 of an empty one.
func Horizons(now int64, rows, oldest []int64, most int64) []int64 {
	horizons := make([]int64, len(Levels))
	total := int64(0)
	for i, l := range Levels {
		horizons[i] = (now - l.Retention) / l.Span * l.Span
		if i+1 < len(Levels) { // whole spans of the next level
			horizons[i] = (now - l.Retention) / Levels[i+1].Span * Levels[i+1].Span
		}
		total += rows[i]
	}
	if total <= most {
		return horizons
	}
	for i, step := range []int64{Hour, 7 * Day, 30 * Day} {
		// The present span of the next level is never cut.
		if rows[i] > 0 && oldest[i]+step < now-step {
			horizons[i] = max(horizons[i], (oldest[i]/step+1)*step)
			break
		}
	}
	return horizons
}
