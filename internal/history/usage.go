package history

import (
	"cmp"
	"strings"
)

// Subject identifies the function and the tenant of a row. Function is empty in the row that sums the functions with the fewest requests
// in a minute with more than maxSubjects subjects.
type Subject struct {
	Function string
	Tenant   string
}

func compareSubjects(a, b Subject) int {
	return cmp.Or(strings.Compare(a.Function, b.Function), strings.Compare(a.Tenant, b.Tenant))
}

// Usage counts what happened within a span of time.
type Usage struct {
	Requests        int64     `cbor:"Jobs"` // requests that got their final answer
	Succeeded       int64     `cbor:"Finished"`
	WithinObjective int64     `cbor:"InTime"` // succeeded within their latency objective
	Rejected        int64     `cbor:"PushedBack"`
	Failed          int64     `cbor:"Killed"`
	Attempts        int64     `cbor:"Executions"`
	Loads           int64     `cbor:"Loads"` // load commands, and attempts that triggered a load
	ExecTimes       Histogram `cbor:"Times"` // execution times of attempts at loaded instances
}

// Quantile returns the quantile q (0 to 1) of the execution times in microseconds, or 0 if there are none.
func (u Usage) Quantile(q float64) int64 { return u.ExecTimes.Quantile(q) }

// Merge adds v to u.
func (u *Usage) Merge(v Usage) {
	u.Requests += v.Requests
	u.Succeeded += v.Succeeded
	u.WithinObjective += v.WithinObjective
	u.Rejected += v.Rejected
	u.Failed += v.Failed
	u.Attempts += v.Attempts
	u.Loads += v.Loads
	u.ExecTimes = u.ExecTimes.Merge(v.ExecTimes)
}

// Row is the usage of one function by one tenant within one span.
type Row struct {
	At int64 // beginning of the span, in microseconds since 1970
	Subject
	Usage
}
