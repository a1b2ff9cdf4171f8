// Command hmhistory prints a router's history of use as a table or as CSV, or plots it.
package main

import (
	"os"
	"time"

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
