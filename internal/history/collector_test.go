package history

import (
	"fmt"
	"testing"

	"hollymast/control"
)

func TestRows(t *testing.T) {
	a, b := Subject{"a", "x"}, Subject{"b", ""}
	collector := NewCollector()
	for i := range int64(100) {
		collector.AttemptEnded(at(now), a, control.Outcome{Result: control.Succeeded, CacheStatus: control.CacheHit,
			Duration: control.Micros(1000 * (i + 1))})
		collector.RequestDone(at(now), a, control.NoAction, i < 10) // the first ten are late
	}
	collector.AttemptEnded(at(now), a, control.Outcome{Result: control.Succeeded, CacheStatus: control.CacheMiss, Duration: 9_000_000})
	collector.RequestDone(at(now), a, control.Reject, Late)
	collector.RequestDone(at(now+Minute), b, control.Fail, Late)
	collector.LoadCommandSent(at(now+Minute), b)
	rows := collector.Drain().Rows()
	if len(rows) != 2 || len(collector.Drain().Rows()) != 0 {
		t.Fatalf("got %+v", rows)
	}
	r := rows[0]
	if r.At != now || r.Subject != a || r.Requests != 101 || r.Succeeded != 100 || r.WithinObjective != 90 || r.Rejected != 1 ||
		r.Attempts != 101 || r.Loads != 1 {
		t.Errorf("got %+v", r)
	}
	if p := r.Quantile(0.5); p < 49_500 || p > 51_000 {
		t.Errorf("median %d", p)
	}
	if r = rows[1]; r.At != now+Minute || r.Subject != b || r.Failed != 1 || r.Loads != 1 || r.Quantile(0.5) != 0 {
		t.Errorf("got %+v", r)
	}
}

// Functions asked for once share one row, and nothing of them is lost.
func TestRareSubjectsShareARow(t *testing.T) {
	collector := NewCollector()
	for i := range 5000 {
		collector.RequestDone(at(now), Subject{fmt.Sprint("once-", i), ""}, control.NoAction, OnTime)
	}
	for range 3 {
		collector.RequestDone(at(now), Subject{"often", ""}, control.NoAction, OnTime)
	}
	rows := collector.Drain().Rows()
	requests := int64(0)
	named := map[string]int64{}
	for _, r := range rows {
		requests += r.Requests
		named[r.Function] = r.Requests
	}
	if len(rows) != maxSubjects+1 || requests != 5003 || named["often"] != 3 || named[""] != 5003-maxSubjects-2 {
		t.Errorf("%d rows of %d requests, %d of the rarest", len(rows), requests, named[""])
	}
}

func TestMergedHistogramsKeepTheirQuantiles(t *testing.T) {
	collector := NewCollector()
	for i := range int64(1000) {
		collector.AttemptEnded(at(now+i%10*Minute), Subject{"a", ""}, control.Outcome{Result: control.Succeeded,
			CacheStatus: control.CacheHit, Duration: control.Micros(100 * (i + 1))})
	}
	var sum Usage
	for _, r := range collector.Drain().Rows() {
		sum.Merge(r.Usage)
	}
	if p50, p99 := sum.Quantile(0.5), sum.Quantile(0.99); sum.Attempts != 1000 || p50 < 49_500 || p50 > 50_500 || p99 < 98_000 ||
		p99 > 100_000 {
		t.Errorf("%d attempts, median %d, p99 %d", sum.Attempts, p50, p99)
	}
}
