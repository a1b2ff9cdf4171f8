package history

import (
	"testing"
)

func TestCompactionCutoffs(t *testing.T) {
	oldestRows := []int64{startOfDay - Hour, startOfDay - Day, startOfDay - 100*Day}
	if cutoffs := CompactionCutoffs(startOfDay, []int64{10, 10, 10}, oldestRows, 30); cutoffs[0] != startOfDay-2*Day ||
		cutoffs[1] != startOfDay-92*Day || cutoffs[2] != startOfDay-3*365*Day {
		t.Errorf("with no more than maxRows rows: %v", cutoffs)
	}
	cutoffs := CompactionCutoffs(startOfDay, []int64{10, 10, 10}, []int64{startOfDay - 5*Hour, startOfDay - Day, startOfDay - 100*Day}, 29)
	if cutoffs[0] != startOfDay-4*Hour || cutoffs[1] != startOfDay-92*Day {
		t.Errorf("beyond maxRows, minutes are shortened first: %v", cutoffs)
	}
	cutoffs = CompactionCutoffs(startOfDay, []int64{10, 10, 10}, []int64{startOfDay - Hour, startOfDay - 60*Day, startOfDay - 100*Day}, 29)
	if cutoffs[0] != startOfDay-2*Day || cutoffs[1] <= startOfDay-60*Day || cutoffs[1] > startOfDay-53*Day {
		t.Errorf("hours are shortened next: %v", cutoffs)
	}
	if cutoffs = CompactionCutoffs(startOfDay, []int64{10, 10, 10}, oldestRows, 29); cutoffs[2] <= startOfDay-100*Day ||
		cutoffs[2] > startOfDay-70*Day {
		t.Errorf("days are shortened last: %v", cutoffs)
	}
}
