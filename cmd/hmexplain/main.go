// Command hmexplain says why a router decided as it did about a request, from a recording.
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
	Paths    []string `arg:"" help:"Segments in order, or a folder of them." type:"path"`
	Request  uint64   `name:"job" help:"The request's number, as in the router's log."`
	ClientID string   `name:"request" help:"The request's own id."`
	NameKey  string   `name:"name-key" help:"The router's name_key, for --request, if it was told one."`
	At       int64    `help:"List the jobs decided about near a time, in microseconds since 1970 as in the log."`
	Span     int64    `default:"100000" help:"How near, in microseconds."`
	All      bool     `help:"Hold every explanation against the decision that was recorded, and print how many were alike."`
	WhatIf   string   `name:"what-if" help:"Ask the first decision again with one thing changed: drain, ready, slot or no-report, then = and a server's id in hex."`
	JSON     bool     `name:"json" help:"Print JSON."`
}

func main() {
	var c cli
	program.Parse(&c, "hmexplain", `Tells from a recording why the decisions about one request came out as they did.

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
	switch {
	case c.All:
		return verifyAll(files)
	case c.At != 0:
		return c.listRequests(files)
	}
	return c.explain(files)
}

func verifyAll(files []string) error {
	agreeing, err := explain.VerifyAll(files)
	if err == nil {
		fmt.Printf("%d decisions, all explained as they were recorded\n", agreeing)
	}
	return err
}

func (c cli) listRequests(files []string) error {
	requests, err := explain.RequestsNear(files, control.Micros(c.At), control.Micros(c.Span))
	for _, id := range requests {
		fmt.Println(id)
	}
	return err
}

// question returns what the arguments ask.
func (c cli) question(files []string) (q explain.Query, err error) {
	q.Request = control.RequestID(c.Request)
	if c.ClientID != "" {
		if q.Request, err = explain.FindRequest(files, record.KeyedHash(c.NameKey, c.ClientID)); err != nil {
			return q, err
		}
	}
	if q.Request == 0 {
		return q, errors.New("name a job with --job or a time with --at, or ask for --all")
	}
	if c.WhatIf != "" {
		change, err := explain.ParseChange(c.WhatIf)
		if err != nil {
			return q, err
		}
		q.WhatIf = &change
	}
	return q, nil
}

func (c cli) explain(files []string) error {
	q, err := c.question(files)
	if err != nil {
		return program.UsageError{Err: err}
	}
	decisions, err := explain.Request(files, q)
	if errors.Is(err, record.ErrNewerVersion) {
		return program.UsageError{Err: err}
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(decisions)
	}
	for _, d := range decisions {
		fmt.Print(d.Text())
	}
	return nil
}
