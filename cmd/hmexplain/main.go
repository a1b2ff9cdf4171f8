// Command hmexplain tells why a router decided as it did about one job, from a recording.
package main

import (
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
	program.CommonFlags
	Paths  []string `arg:"" help:"Segments in order, or a folder of them." type:"path"`
	Job    uint64   `help:"The job's number, as in the router's log."`
	Asked  string   `name:"request" help:"The request's own id."`
	Key    string   `name:"name-key" help:"The router's name_key, for --request, if it was told one."`
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

  hmexplain REC --request 7f3a               the same for the request of this id

  hmexplain REC --job 300 --what-if drain=7f0000019a7b`)
	program.Exit("hmexplain", c.run())
}

func (c cli) run() error {
	files, err := record.ExpandPaths(c.Paths)
	if err != nil {
		return program.UsageError{Err: err}
	}
	if c.All {
		alike, err := explain.VerifyAll(files)
		if err == nil {
			fmt.Printf("%d decisions, all explained as they were recorded\n", alike)
		}
		return err
	}
	if c.At != 0 {
		jobs, err := explain.RequestsNear(files, control.Micros(c.At), control.Micros(c.Span))
		for _, j := range jobs {
			fmt.Println(j)
		}
		return err
	}
	if c.Asked != "" {
		job, err := explain.FindRequest(files, record.Tag(c.Key, c.Asked))
		if err != nil {
			return program.UsageError{Err: err}
		}
		c.Job = uint64(job)
	}
	if c.Job == 0 {
		return program.UsageError{Err: errors.New("name a job with --job or a time with --at, or ask for --all")}
	}
	q := explain.Question{Request: control.RequestID(c.Job)}
	if c.WhatIf != "" {
		change, err := explain.ParseChange(c.WhatIf)
		if err != nil {
			return program.UsageError{Err: err}
		}
		q.WhatIf = &change
	}
	answers, err := explain.Request(files, q)
	if errors.Is(err, record.ErrNewer) {
		return program.UsageError{Err: err}
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
