package main

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"os"
	"path"
	"path/filepath"
	"slices"
	"time"

	"hollymast/internal/gateway"
	"hollymast/internal/history"
	"hollymast/internal/program"
)

// query says which rows are read, and how they are summed.
type query struct {
	file             string
	function, tenant string // patterns of path.Match
	from, until      int64  // microseconds since 1970
	span             int64  // of the rows that are summed; 0: as stored, wholeSpan: all of them
	sumFunctions     bool
	sumTenants       bool
}

// wholeSpan is the span of a query that sums over all of its time.
const wholeSpan = math.MaxInt64

// query checks the arguments.
func (c cli) query(now time.Time) (q query, err error) {
	q = query{file: c.Path, function: c.Function, tenant: c.Tenant}
	if q.from, err = parseTime(c.From, now); err != nil {
		return q, err
	}
	if q.until, err = parseTime(c.Until, now); err != nil {
		return q, err
	}
	for _, pattern := range []string{c.Function, c.Tenant} {
		if _, err := path.Match(pattern, ""); err != nil {
			return q, program.UsageError{Err: fmt.Errorf("%q: %w", pattern, err)}
		}
	}
	if info, err := os.Stat(c.Path); err == nil && info.IsDir() {
		q.file = filepath.Join(c.Path, gateway.HistoryFile)
	}
	switch c.Step {
	case "hour":
		q.span = history.Hour
	case "day":
		q.span = history.Day
	case "all":
		q.span = wholeSpan
	}
	q.sumFunctions = c.Sum == "functions" || c.Sum == "both"
	q.sumTenants = c.Sum == "tenants" || c.Sum == "both"
	return q, nil
}

// parseTime reads a time, or a duration before now, and returns microseconds since 1970.
func parseTime(text string, now time.Time) (int64, error) {
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return t.UnixMicro(), nil
	}
	ago, err := time.ParseDuration(text)
	if err != nil || ago < 0 {
		return 0, program.UsageError{Err: fmt.Errorf("%q is neither a time as 2026-12-01T06:30:00Z nor a span as 24h", text)}
	}
	return now.Add(-ago).UnixMicro(), nil
}

// read returns the rows, summed, by time, then function and tenant.
func (q query) read() ([]history.Row, error) {
	type rowID struct {
		at      int64
		subject history.Subject
	}
	sums := map[rowID]*history.Row{}
	// A row of a coarse level that began before from is partly of this time. It is counted whole.
	err := history.NewStore(q.file, 0).Read(q.from-history.Day, q.until, func(l history.Level, r history.Row) error {
		if !q.matches(r.Subject) || r.At+l.Span <= q.from {
			return nil
		}
		q.coarsen(&r)
		id := rowID{r.At, r.Subject}
		if sums[id] == nil {
			sums[id] = &history.Row{At: r.At, Subject: r.Subject}
		}
		sums[id].Merge(r.Usage)
		return nil
	})
	if errors.Is(err, history.ErrNewerVersion) || errors.Is(err, os.ErrNotExist) {
		return nil, program.UsageError{Err: err}
	}
	if err != nil {
		return nil, err
	}
	rows := make([]history.Row, 0, len(sums))
	for _, r := range sums {
		rows = append(rows, *r)
	}
	slices.SortFunc(rows, func(a, b history.Row) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Function, b.Function), cmp.Compare(a.Tenant, b.Tenant))
	})
	return rows, nil
}

// matches reports whether a row's subject is asked for. The patterns are valid.
func (q query) matches(s history.Subject) bool {
	function, _ := path.Match(q.function, s.Function)
	tenant, _ := path.Match(q.tenant, s.Tenant)
	return function && tenant
}

// coarsen replaces a row's time and subject by those of the sum that it belongs to.
func (q query) coarsen(r *history.Row) {
	if q.sumTenants {
		r.Tenant = ""
	}
	if q.sumFunctions {
		r.Function = ""
	}
	switch {
	case q.span == wholeSpan:
		r.At = q.from
	case q.span > 0:
		r.At = r.At / q.span * q.span
	}
}
