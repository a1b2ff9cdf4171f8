package tlspolicy

import (
	"hollymast/control"
	"time"
)

// wall is a time in the form that x509 wants.
func timeOf(at control.Micros) time.Time { return time.UnixMicro(int64(at)).UTC() }

func microsOf(t time.Time) control.Micros { return control.Micros(t.UnixMicro()) }

// shown is a time as operators read it.
func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") }
