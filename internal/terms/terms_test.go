package terms

import (
	"testing"

	"hollymast/control"
)

func TestReportNamesValues(t *testing.T) {
	got := Report([]string{"x1", "cpu_share"}, []float32{3, 0.5, 9})
	if want := (control.Report{Util: 0.5, Loads: 3, Pinned: -1}); got == nil || *got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if Report([]string{"x1"}, nil) != nil {
		t.Error("a report of nothing")
	}
}
