// Command hmexplain tells why a router decided as it did about one job, from a recording.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"hollymast/control"
	"hollymast/internal/explain"
	"hollymast/internal/program"
	"hollymast/internal/record"
)

type cli struct {
	program.Common
	Paths  []string `arg:"" help:"Segments in order, or a folder of them." type:"path"`
	Job    uint64   `help:"The job's number, as in the router's log."`
	Asked  string   `name:"request" help:"The request's own id; needs --log."`
	Log    string   `help:"The router's log, at level debug, in which requests are named." type:"path"`
	At     int64    `help:"List the jobs decided about near a time, in microseconds since 1970 as in the log."`
	Span   int64    `default:"100000" help:"How near, in microseconds."`
	All    bool     `help:"Hold every explanation against the decision that was recorded, and print how many were alike."`
	WhatIf string   `name:"what-if" help:"Ask the first decision again with one thing changed: drain, ready, slot or no-report, then = and a server's id in hex."`
	JSON   bool     `name:"json" help:"Print JSON."`
}

func main() {
	var c cli
	program.Parse(&c, "hmexplain", `Tells from a recording why the decisions about one job came out as they did.

Examples:

  hmexplain REC --at 1796133869057624        jobs decided about then

  hmexplain REC --job 300                    why each decision about it

  hmexplain REC --job 300 --what-if drain=7f0000019a7b`)
	program.Exit("hmexplain", c.run())
}

func (c cli) run() error {
	files, err := record.Files(c.Paths)
	if err != nil {
		return program.Use{Err: err}
	}
	if c.All {
		alike, err := explain.All(files)
		if err == nil {
			fmt.Printf("%d decisions, all explained as they were recorded\n", alike)
		}
		return err
	}
	if c.At != 0 {
		jobs, err := explain.Near(files, control.Micros(c.At), control.Micros(c.Span))
		for _, j := range jobs {
			fmt.Println(j)
		}
		return err
	}
	if c.Asked != "" {
		if c.Job, err = requested(c.Log, c.Asked); err != nil {
			return program.Use{Err: err}
		}
	}
	if c.Job == 0 {
		return program.Use{Err: errors.New("name a job with --job or a time with --at, or ask for --all")}
	}
	q := explain.Question{Job: control.JobID(c.Job)}
	if c.WhatIf != "" {
		change, err := explain.ReadChange(c.WhatIf)
		if err != nil {
			return program.Use{Err: err}
		}
		q.If = &change
	}
	answers, err := explain.Job(files, q)
	if errors.Is(err, record.ErrNewer) {
		return program.Use{Err: err}
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(answers)
	}
	for _, a := range answers {
		fmt.Print(a.Text())
	}
	return nil
}

// requested finds a request's job in a router's log.
func requested(log, id string) (uint64, error) {
	f, err := os.Open(log)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	job := uint64(0)
	for lines.Scan() {
		var l struct {
			Message, Request string
			Job              uint64
		}
		if json.Unmarshal(lines.Bytes(), &l) == nil && l.Message == "taken" && l.Request == id {
			job = l.Job // the last one, where an id was used again
		}
	}
	if job == 0 && lines.Err() == nil {
		return 0, fmt.Errorf("%s names no request %q; it must be at level debug", log, id)
	}
	return job, lines.Err()
}
