// Command hmexplain explains from a recording why a router made its decisions about a request.
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
	Paths    []string `arg:"" help:"Segment files in order, or a directory of them." type:"path"`
	Request  uint64   `name:"job" help:"Number of the request, as in the router's log."`
	ClientID string   `name:"request" help:"Id that the client gave the request."`
	NameKey  string   `name:"name-key" help:"The router's name_key, if it has one; for --request."`
	At       int64    `help:"List the requests with decisions near this time, in microseconds since 1970 as in the log."`
	Span     int64    `default:"100000" help:"Maximum distance from --at, in microseconds."`
	All      bool     `help:"Compare every explanation with the recorded decision, and print how many agree."`
	WhatIf   string   `name:"what-if" help:"Repeat the first decision with one change: drain, ready, slot or no-report, followed by = and a server's id in hex."`
	JSON     bool     `name:"json" help:"Print JSON."`
}

func main() {
	var c cli
	program.Parse(&c, "hmexplain", `Explains from a recording why the decisions about a request were made.

Examples:

  hmexplain REC --at 1796133869057624        requests with decisions near that time

  hmexplain REC --job 300                    explain each decision about a request

  hmexplain REC --request 7f3a               the same, by the client's id of the request

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

// query returns the query that the arguments specify.
func (c cli) query(files []string) (q explain.Query, err error) {
	q.Request = control.RequestID(c.Request)
	if c.ClientID != "" {
		if q.Request, err = explain.FindRequest(files, record.KeyedHash(c.NameKey, c.ClientID)); err != nil {
			return q, err
		}
	}
	if q.Request == 0 {
		return q, errors.New("give a request with --job or --request, a time with --at, or --all")
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
	q, err := c.query(files)
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
