package tlspolicy

import (
	"time"

	"hollymast/control"
)

func timeOf(at control.Micros) time.Time { return time.UnixMicro(int64(at)).UTC() }

func microsOf(t time.Time) control.Micros { return control.Micros(t.UnixMicro()) }

// formatTime formats a time for log lines and errors.
func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") }
