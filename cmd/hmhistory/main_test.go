package main

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"hollymast/internal/gateway"
	"hollymast/internal/history"
	"hollymast/internal/program"
)

var now = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// writeTestHistory writes a history into a gateway's state directory and returns the directory. It holds two minutes with two functions,
// and a row of the day before.
func writeTestHistory(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	at := func(ago time.Duration) int64 { return now.Add(-ago).UnixMicro() }
	rows := []history.Row{
		{At: at(30 * time.Hour), Subject: history.Subject{Function: "label-1", Tenant: "a"}, Usage: history.Usage{Requests: 100}},
		{At: at(2 * time.Hour), Subject: history.Subject{Function: "label-1", Tenant: "a"}, Usage: history.Usage{Requests: 9, Succeeded: 7,
			WithinObjective: 6, Rejected: 1, Failed: 1, Attempts: 10, Loads: 2, ExecTimes: history.Histogram{1000, 5, 2000, 4, 9000, 1}}},
		{At: at(2 * time.Hour), Subject: history.Subject{Function: "label-1", Tenant: "b"}, Usage: history.Usage{Requests: 1}},
		{At: at(2*time.Hour - time.Minute), Subject: history.Subject{Function: "ticket-1", Tenant: "a"}, Usage: history.Usage{Requests: 3}},
	}
	if err := history.NewStore(filepath.Join(dir, gateway.HistoryFile), 1000).Add(rows, now.UnixMicro()); err != nil {
		t.Fatal(err)
	}
	return dir
}

// defaultArguments returns the command line's defaults with the given directory.
func defaultArguments(dir string) cli {
	return cli{Path: dir, Function: "*", Tenant: "*", From: "24h", Until: "0s", Step: "stored", Sum: "none"}
}

func TestQueriesSumRows(t *testing.T) {
	dir := writeTestHistory(t)
	for name, c := range map[string]struct {
		change func(c *cli)
		want   []string // time, function, tenant and requests
	}{
		"the last day": {func(*cli) {}, []string{"2026-12-01T10:00Z label-1 a 9", "2026-12-01T10:00Z label-1 b 1", "2026-12-01T10:01Z ticket-1 a 3"}},
		"by hours, tenants summed": {func(c *cli) { c.Step, c.Sum = "hour", "tenants" },
			[]string{"2026-12-01T10:00Z label-1  10", "2026-12-01T10:00Z ticket-1  3"}},
		"by days, functions summed": {func(c *cli) { c.Step, c.Sum, c.From = "day", "functions", "48h" },
			[]string{"2026-11-30T00:00Z  a 100", "2026-12-01T00:00Z  a 12", "2026-12-01T00:00Z  b 1"}},
		"all in one": {func(c *cli) { c.Step, c.Sum, c.From = "all", "both", "48h" }, []string{"2026-11-29T12:00Z   113"}},
		"filtered":   {func(c *cli) { c.Function, c.Tenant = "label-*", "b" }, []string{"2026-12-01T10:00Z label-1 b 1"}},
		"until":      {func(c *cli) { c.From, c.Until = "48h", "2026-12-01T10:00:00Z" }, []string{"2026-11-30T06:00Z label-1 a 100"}},
	} {
		arguments := defaultArguments(dir)
		c.change(&arguments)
		q, err := arguments.query(now)
		if err != nil {
			t.Fatal(err)
		}
		rows, err := q.read()
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, r := range rows {
			got = append(got, strings.Join(rowCells(r)[:4], " "))
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}

func TestWrongArguments(t *testing.T) {
	dir := writeTestHistory(t)
	for name, change := range map[string]func(c *cli){
		"a time":    func(c *cli) { c.From = "yesterday" },
		"a span":    func(c *cli) { c.Until = "-1h" },
		"a pattern": func(c *cli) { c.Function = "[" },
		"a file":    func(c *cli) { c.Path = filepath.Join(dir, "none") },
		"a format":  func(c *cli) { c.Plot = filepath.Join(dir, "plot.gif") },
	} {
		arguments := defaultArguments(dir)
		change(&arguments)
		var usage program.UsageError
		if err := arguments.run(now); !errors.As(err, &usage) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Scripts read this output, so its form must not change.
func TestOutput(t *testing.T) {
	q, err := defaultArguments(writeTestHistory(t)).query(now)
	if err != nil {
		t.Fatal(err)
	}
	rows, err := q.read()
	if err != nil {
		t.Fatal(err)
	}
	var table, text strings.Builder
	if err := writeTable(&table, rows[:1]); err != nil {
		t.Fatal(err)
	}
	if err := writeCSV(&text, rows[:1]); err != nil {
		t.Fatal(err)
	}
	if want := "               time  function  tenant  jobs  in time  pushed back  killed  executions  loads  p50 us  p90 us  p99 us\n" +
		"  2026-12-01T10:00Z   label-1       a     9        6            1       1          10      2    1000    2000    9000\n"; table.String() != want {
		t.Errorf("table:\n%s\nwant:\n%s", table.String(), want)
	}
	if want := "time,function,tenant,jobs,in time,pushed back,killed,executions,loads,p50 us,p90 us,p99 us\n" +
		"2026-12-01T10:00Z,label-1,a,9,6,1,1,10,2,1000,2000,9000\n"; text.String() != want {
		t.Errorf("CSV:\n%s\nwant:\n%s", text.String(), want)
	}
}

func TestPlot(t *testing.T) {
	dir := writeTestHistory(t)
	for _, metric := range []string{"jobs", "in-time", "pushed-back", "killed", "loads", "p50", "p99"} {
		c := defaultArguments(dir)
		c.Plot, c.Show, c.Most = filepath.Join(dir, metric+".svg"), metric, 8
		if err := c.run(now); err != nil {
			t.Fatal(err)
		}
		if svg, err := os.ReadFile(c.Plot); err != nil || !strings.Contains(string(svg), axisTitles[metric]) {
			t.Errorf("%s: no axis title in %d bytes, %v", metric, len(svg), err)
		}
	}
	c := defaultArguments(dir)
	c.Plot, c.From, c.Until = filepath.Join(dir, "empty.svg"), "1h", "0s"
	if err := c.run(now); err == nil {
		t.Error("plotting no rows succeeded")
	}
}
