package simulation

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
	"hollymast/internal/invariant"
)

// Result is a simulated day.
type Result struct {
	Records  []invariant.Record // in order of time
	Hash     uint64             // of all records: equal for equal days and, but for one chance in 2^64, for no others
	Events   int
	Steps    int           // of all routers
	Outcomes []CallOutcome // by call
}

// CallOutcome is what became of a call.
type CallOutcome struct {
	CallIndex  int // index into Plan.Calls
	InTime     bool
	FinishedAt control.Micros // 0: never finished
	Attempts   int            // requests that its client sent
}

// newResult brings the nodes' records together.
func newResult(w *world, events int) *Result {
	result := &Result{Events: events, Outcomes: make([]CallOutcome, len(w.plan.Calls))}
	for _, n := range w.engine.nodes {
		result.Records = append(result.Records, n.log...)
	}
	slices.SortStableFunc(result.Records, func(a, b invariant.Record) int { return int(a.At - b.At) })
	result.Hash = hashRecords(result.Records)
	for _, r := range w.routers {
		result.Steps += r.steps
	}
	for _, c := range w.clients {
		for _, outcome := range c.outcomes {
			result.Outcomes[outcome.CallIndex] = outcome
		}
	}
	return result
}

// hashRecords hashes records in a form of its own, which does not change with the records' names.
func hashRecords(records []invariant.Record) uint64 {
	h := xxhash.New()
	var b []byte
	for _, r := range records {
		b = binary.AppendVarint(b[:0], r.At)
		b = append(b, byte(r.Kind))
		b = binary.AppendVarint(b, int64(r.Server))
		b = binary.AppendVarint(b, int64(r.Router))
		b = binary.AppendVarint(b, r.Deadline)
		for _, text := range []string{r.Request, r.Effect, r.Workload, r.Detail} {
			b = append(append(b, text...), 0)
		}
		h.Write(b)
	}
	return h.Sum64()
}
