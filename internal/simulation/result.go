package simulation

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
	"hollymast/internal/invariant"
)

// Result is the result of a simulated run.
type Result struct {
	Records  []invariant.Record // ordered by time
	Hash     uint64             // of all records: equal runs have equal hashes, different runs collide with probability 2^-64
	Events   int
	Steps    int           // of the event loops of all routers
	Outcomes []CallOutcome // by index of the call
}

// CallOutcome is the outcome of a call.
type CallOutcome struct {
	CallIndex  int            // index into Plan.Calls
	InTime     bool           // succeeded within the latency objective of its class
	FinishedAt control.Micros // 0: did not succeed
	Attempts   int            // requests that the client sent
}

// newResult collects the records of all nodes and the outcomes of all calls.
func newResult(sim *simulation, events int) *Result {
	result := &Result{Events: events, Outcomes: make([]CallOutcome, len(sim.plan.Calls))}
	for _, n := range sim.engine.nodes {
		result.Records = append(result.Records, n.records...)
	}
	slices.SortStableFunc(result.Records, func(a, b invariant.Record) int { return int(a.At - b.At) })
	result.Hash = hashRecords(result.Records)
	for _, r := range sim.routers {
		result.Steps += r.steps
	}
	for _, c := range sim.clients {
		for _, outcome := range c.outcomes {
			result.Outcomes[outcome.CallIndex] = outcome
		}
	}
	return result
}

// hashRecords hashes records in its own encoding, which does not depend on the names of the fields of a record.
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
