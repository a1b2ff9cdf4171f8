package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"hollymast/internal/history"
)

// columns are the names of the columns. Scripts read them, so they must not change.
var columns = []string{"time", "function", "tenant", "jobs", "in time", "pushed back", "killed", "executions", "loads",
	"p50 us", "p90 us", "p99 us"}

// rowTimeFormat is the format of a row's time, in UTC and to the minute.
const rowTimeFormat = "2006-01-02T15:04Z"

func rowCells(r history.Row) []string {
	n := func(v int64) string { return strconv.FormatInt(v, 10) }
	return []string{time.UnixMicro(r.At).UTC().Format(rowTimeFormat), r.Function, r.Tenant, n(r.Requests), n(r.WithinObjective), n(r.Rejected),
		n(r.Failed), n(r.Attempts), n(r.Loads), n(r.Quantile(0.5)), n(r.Quantile(0.9)), n(r.Quantile(0.99))}
}

// tableLines returns the column names, followed by the cells of each row.
func tableLines(rows []history.Row) [][]string {
	lines := [][]string{columns}
	for _, r := range rows {
		lines = append(lines, rowCells(r))
	}
	return lines
}

func writeCSV(w io.Writer, rows []history.Row) error {
	return csv.NewWriter(w).WriteAll(tableLines(rows))
}

func writeTable(out io.Writer, rows []history.Row) error {
	w := tabwriter.NewWriter(out, 0, 1, 2, ' ', tabwriter.AlignRight)
	for _, line := range tableLines(rows) {
		for _, cell := range line {
			fmt.Fprintf(w, "%s\t", cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
