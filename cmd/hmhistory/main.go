// Command hmhistory prints a router's usage history as a table or as CSV, or plots it.
package main

import (
	"os"
	"time"

	"hollymast/internal/program"
)

type cli struct {
	program.CommonFlags
	Path     string `arg:"" help:"History file, or a router's state directory." type:"path"`
	Function string `default:"*" help:"Only functions whose names match this pattern (see Go's path.Match)."`
	Tenant   string `default:"*" help:"Only tenants whose names match this pattern."`
	From     string `default:"24h" help:"Beginning of the period: a time (RFC 3339) or a duration before now."`
	Until    string `default:"0s" help:"End of the period, in the same form."`
	Step     string `enum:"stored,hour,day,all" default:"stored" help:"Sum rows by: stored (as they are stored), hour, day, all."`
	Sum      string `enum:"none,tenants,functions,both" default:"none" help:"Also sum over: none, tenants, functions, both."`
	CSV      bool   `name:"csv" help:"Print CSV."`
	Plot     string `help:"Write a plot to this file (.png or .svg) instead of printing." type:"path"`
	Show     string `enum:"jobs,in-time,pushed-back,killed,loads,p50,p99" default:"jobs" help:"Value to plot: jobs, in-time, pushed-back, killed, loads, p50, p99."`
	Most     int    `default:"8" help:"Maximum number of lines in the plot: those with the most jobs."`
}

func main() {
	var c cli
	program.Parse(&c, "hmhistory", `Reads a router's usage history.

Examples:

  hmhistory /var/lib/hollymast                             the last day, as it is stored

  hmhistory /var/lib/hollymast --step hour --sum tenants --function 'label-*'

  hmhistory /var/lib/hollymast --from 168h --step day --csv

  hmhistory /var/lib/hollymast --sum both --show p99 --plot p99.svg`)
	program.Exit("hmhistory", c.run(time.Now()))
}

func (c cli) run(now time.Time) error {
	q, err := c.query(now)
	if err != nil {
		return err
	}
	rows, err := q.read()
	if err != nil {
		return err
	}
	switch {
	case c.Plot != "":
		return plotRows(c.Plot, c.Show, c.Most, rows)
	case c.CSV:
		return writeCSV(os.Stdout, rows)
	}
	return writeTable(os.Stdout, rows)
}
