package history

import (
	"testing"
)

func TestHorizons(t *testing.T) {
	young := []int64{now - Hour, now - Day, now - 100*Day}
	if h := CompactionCutoffs(now, []int64{10, 10, 10}, young, 30); h[0] != now-2*Day || h[1] != now-92*Day || h[2] != now-3*365*Day {
		t.Errorf("within the bound: %v", h)
	}
	h := CompactionCutoffs(now, []int64{10, 10, 10}, []int64{now - 5*Hour, now - Day, now - 100*Day}, 29)
	if h[0] != now-4*Hour || h[1] != now-92*Day {
		t.Errorf("beyond it minutes go first: %v", h)
	}
	h = CompactionCutoffs(now, []int64{10, 10, 10}, []int64{now - Hour, now - 60*Day, now - 100*Day}, 29)
	if h[0] != now-2*Day || h[1] <= now-60*Day || h[1] > now-53*Day {
		t.Errorf("then hours: %v", h)
	}
	if h = CompactionCutoffs(now, []int64{10, 10, 10}, young, 29); h[2] <= now-100*Day || h[2] > now-70*Day {
		t.Errorf("then days: %v", h)
	}
}
