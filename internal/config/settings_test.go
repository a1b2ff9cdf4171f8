package config

import (
	"testing"

	"hollymast/control"
)

func TestLoadReport(t *testing.T) {
	got := LoadReport([]string{"x1", "cpu_share"}, []float32{3, 0.5, 9})
	if want := (control.LoadReport{Utilization: 0.5, PendingLoads: 3, PinnedMemory: -1}); got == nil || *got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if LoadReport([]string{"x1"}, nil) != nil {
		t.Error("an empty report was converted")
	}
}
