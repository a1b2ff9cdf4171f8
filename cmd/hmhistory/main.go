// Command hmhistory reads a router's history of use: as a table, as CSV, or as a plot.
package main

import (
	"cmp"
	"encoding/csv"
	"errors"
	"fmt"
	"math"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"hollymast/internal/gateway"
	"hollymast/internal/history"
	"hollymast/internal/program"
)

type cli struct {
	program.CommonFlags
	Path     string `arg:"" help:"The history, or a router's memory folder." type:"path"`
	Function string `default:"*" help:"Functions whose names match, as in path.Match."`
	Tenant   string `default:"*" help:"Tenants whose names match."`
	From     string `default:"24h" help:"Beginning: a time (RFC 3339), or how long ago."`
	Until    string `default:"0s" help:"End, alike."`
	Step     string `enum:"stored,hour,day,all" default:"stored" help:"Rows of a step are summed: stored (as they are kept), hour, day, all."`
	Sum      string `enum:"none,tenants,functions,both" default:"none" help:"What is summed within a step: none, tenants, functions, both."`
	CSV      bool   `name:"csv" help:"Print CSV."`
	Plot     string `help:"Draw into this file (.png or .svg) instead." type:"path"`
	Show     string `enum:"jobs,in-time,pushed-back,killed,loads,p50,p99" default:"jobs" help:"What is drawn: jobs, in-time, pushed-back, killed, loads, p50, p99."`
	Most     int    `default:"8" help:"Lines drawn at most: those with most jobs."`
}

func main() {
	var c cli
	program.Parse(&c, "hmhistory", `Reads a router's history of use.

Examples:

  hmhistory /var/lib/hollymast                             the last day, as it is kept

  hmhistory /var/lib/hollymast --step hour --sum tenants --function 'label-*'

  hmhistory /var/lib/hollymast --from 168h --step day --csv

  hmhistory /var/lib/hollymast --sum both --show p99 --plot p99.svg`)
	program.Exit("hmhistory", c.run(time.Now()))
}

func (c cli) run(now time.Time) error {
	rows, err := c.read(now)
	if err != nil {
		return err
	}
	switch {
	case c.Plot != "":
		return draw(c.Plot, c.Show, c.Most, rows)
	case c.CSV:
		return c.csv(rows)
	}
	return c.table(rows)
}

// when reads a time, or a span before now.
func when(text string, now time.Time) (int64, error) {
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return t.UnixMicro(), nil
	}
	ago, err := time.ParseDuration(text)
	if err != nil || ago < 0 {
		return 0, program.UsageError{Err: fmt.Errorf("%q is neither a time as 2026-12-01T06:30:00Z nor a span as 24h", text)}
	}
	return now.Add(-ago).UnixMicro(), nil
}

// read gives the rows that are meant, summed, by time, then name.
func (c cli) read(now time.Time) ([]history.Row, error) {
	from, err := when(c.From, now)
	if err != nil {
		return nil, err
	}
	until, err := when(c.Until, now)
	if err != nil {
		return nil, err
	}
	for _, glob := range []string{c.Function, c.Tenant} {
		if _, err := path.Match(glob, ""); err != nil {
			return nil, program.UsageError{Err: fmt.Errorf("%q: %w", glob, err)}
		}
	}
	name := c.Path
	if info, err := os.Stat(name); err == nil && info.IsDir() {
		name = filepath.Join(name, gateway.HistoryFile)
	}
	span := map[string]int64{"hour": history.Hour, "day": history.Day, "all": math.MaxInt64}[c.Step]
	type place struct {
		at  int64
		who history.Subject
	}
	sums := map[place]*history.Row{}
	// A row of a coarse level that began before from belongs to it in part; it is shown whole.
	err = history.NewStore(name, 0).Read(from-history.Day, until, func(l history.Level, r history.Row) error {
		function, _ := path.Match(c.Function, r.Function)
		tenant, _ := path.Match(c.Tenant, r.Tenant)
		if !function || !tenant || r.At+l.Span <= from {
			return nil
		}
		if c.Sum == "tenants" || c.Sum == "both" {
			r.Tenant = ""
		}
		if c.Sum == "functions" || c.Sum == "both" {
			r.Function = ""
		}
		switch {
		case span == math.MaxInt64:
			r.At = from
		case span > 0:
			r.At = r.At / span * span
		}
		at := place{r.At, r.Subject}
		if sums[at] == nil {
			sums[at] = &history.Row{At: r.At, Subject: r.Subject}
		}
		sums[at].Merge(r.Usage)
		return nil
	})
	if errors.Is(err, history.ErrNewer) || errors.Is(err, os.ErrNotExist) {
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

var head = []string{"time", "function", "tenant", "jobs", "in time", "pushed back", "killed", "executions", "loads", "p50 us", "p90 us", "p99 us"}

func cells(r history.Row) []string {
	n := func(v int64) string { return strconv.FormatInt(v, 10) }
	return []string{time.UnixMicro(r.At).UTC().Format("2006-01-02T15:04Z"), r.Function, r.Tenant, n(r.Requests), n(r.WithinObjective), n(r.Rejected), n(r.Failed),
		n(r.Attempts), n(r.Loads), n(r.Quantile(0.5)), n(r.Quantile(0.9)), n(r.Quantile(0.99))}
}

func (c cli) csv(rows []history.Row) error {
	w := csv.NewWriter(os.Stdout)
	w.Write(head)
	for _, r := range rows {
		w.Write(cells(r))
	}
	w.Flush()
	return w.Error()
}

func (c cli) table(rows []history.Row) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 1, 2, ' ', tabwriter.AlignRight)
	for _, line := range slices.Concat([][]string{head}, rowsOf(rows)) {
		for _, cell := range line {
			fmt.Fprintf(w, "%s\t", cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

func rowsOf(rows []history.Row) [][]string {
	var lines [][]string
	for _, r := range rows {
		lines = append(lines, cells(r))
	}
	return lines
}
