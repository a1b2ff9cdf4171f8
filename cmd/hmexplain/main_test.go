package main

import (
	"errors"
	"testing"

	"hollymast/internal/explain"
	"hollymast/internal/program"
)

const (
	recording = "../../internal/replay/testdata/format3.rec" // by an earlier build
	decided   = 100                                          // a request that it holds decisions about
)

func TestQuestion(t *testing.T) {
	q, err := cli{Request: decided, WhatIf: "drain=2"}.question([]string{recording})
	if err != nil || q.Request != decided || q.WhatIf == nil || *q.WhatIf != (explain.Change{Kind: explain.ChangeDrain, Server: 2}) {
		t.Errorf("got %+v, %v", q, err)
	}
	if q, err := (cli{Request: decided}).question(nil); err != nil || q != (explain.Query{Request: decided}) {
		t.Errorf("got %+v, %v", q, err)
	}
}

func TestWrongArguments(t *testing.T) {
	for name, c := range map[string]cli{
		"a missing file":       {Paths: []string{recording + ".none"}, Request: decided},
		"no request":           {Paths: []string{recording}},
		"an unknown client id": {Paths: []string{recording}, ClientID: "nobody's"},
		"an unknown change":    {Paths: []string{recording}, Request: decided, WhatIf: "flood=1"},
	} {
		var usage program.UsageError
		if err := c.run(); !errors.As(err, &usage) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestRun(t *testing.T) {
	for name, c := range map[string]cli{
		"text": {Request: decided},
		"JSON": {Request: decided, JSON: true},
		"all":  {All: true},
		"near": {At: 5_250_000, Span: 1_000_000},
	} {
		c.Paths = []string{recording}
		if err := c.run(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := (cli{Paths: []string{recording}, Request: 1 << 40}).run(); !errors.Is(err, explain.ErrNoDecision) {
		t.Errorf("got %v", err)
	}
}
