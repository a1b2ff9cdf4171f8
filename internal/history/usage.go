// Package history keeps what functions were used for: jobs, loads, answers in time and execution times, by function,
// tenant and time, for months, in little room. Tallies and the rules of what is kept how long are free of I/O; Store
// keeps rows in a file.
package history

import (
	"cmp"
	"strings"
)

// Who is what a row is about. Function is empty where a span had more functions than rows are kept for: then it is the
// sum of the rarest.
type Subject struct {
	Function string
	Tenant   string
}

// Use is what was done within a span of time.
type Usage struct {
	Requests        int64     `cbor:"Jobs"` // that got their answer
	Succeeded       int64     `cbor:"Finished"`
	WithinObjective int64     `cbor:"InTime"` // finished within their start target
	Rejected        int64     `cbor:"PushedBack"`
	Failed          int64     `cbor:"Killed"`
	Attempts        int64     `cbor:"Executions"`
	Loads           int64     `cbor:"Loads"` // executions that began a load, and orders
	ExecTimes       Histogram `cbor:"Times"` // of executions by warm copies
}

// Quantile gives a quantile (0 to 1) of the execution times in microseconds; 0 of none.
func (u Usage) Quantile(q float64) int64 { return u.ExecTimes.Quantile(q) }

// Merge adds another use to this one.
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

// Row is the use of one function by one tenant within one span.
type Row struct {
	At int64 // the span's beginning, in microseconds since 1970
	Subject
	Usage
}

func compareSubjects(a, b Subject) int {
	return cmp.Or(strings.Compare(a.Function, b.Function), strings.Compare(a.Tenant, b.Tenant))
}
