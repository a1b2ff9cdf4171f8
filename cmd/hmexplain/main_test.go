package main

import (
	"errors"
	"testing"

	"hollymast/internal/explain"
	"hollymast/internal/program"
)

const (
	recording      = "../../internal/replay/testdata/format3.rec" // made by an earlier build
	decidedRequest = 100                                          // a request about which the recording contains decisions
)

func TestQuery(t *testing.T) {
	q, err := cli{Request: decidedRequest, WhatIf: "drain=2"}.query([]string{recording})
	if err != nil || q.Request != decidedRequest || q.WhatIf == nil || *q.WhatIf != (explain.Change{Kind: explain.ChangeDrain, Server: 2}) {
		t.Errorf("got %+v, %v", q, err)
	}
	if q, err := (cli{Request: decidedRequest}).query(nil); err != nil || q != (explain.Query{Request: decidedRequest}) {
		t.Errorf("got %+v, %v", q, err)
	}
}

func TestWrongArguments(t *testing.T) {
	for name, c := range map[string]cli{
		"a missing file":       {Paths: []string{recording + ".none"}, Request: decidedRequest},
		"no request":           {Paths: []string{recording}},
		"an unknown client id": {Paths: []string{recording}, ClientID: "nobody's"},
		"an unknown change":    {Paths: []string{recording}, Request: decidedRequest, WhatIf: "flood=1"},
	} {
		var usage program.UsageError
		if err := c.run(); !errors.As(err, &usage) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestRun(t *testing.T) {
	for name, c := range map[string]cli{
		"text": {Request: decidedRequest},
		"JSON": {Request: decidedRequest, JSON: true},
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
