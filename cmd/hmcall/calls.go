package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"hollymast/client"
	"hollymast/internal/program"
)

// call is a line of a file of calls. An empty field has the flag's value.
type call struct {
	Model   string          `json:"model"`
	Request json.RawMessage `json:"request"`
	Effect  string          `json:"effect"`
	Mark    string          `json:"mark"`
	Tenant  string          `json:"tenant"`
	Timeout int64           `json:"timeout"` // milliseconds
}

// effects are the values of --effect and of a call's effect.
var effects = map[string]client.Effect{
	"run-once":      client.NonIdempotent,
	"restartable":   client.Idempotent,
	"fingerprinted": client.IdempotentByKey,
}

// emptyRequest is the body of a call that gives none.
var emptyRequest = []byte(`{"inputs":[]}`)

// maxLine bounds a line of a file of calls, in bytes.
const maxLine = 64 << 20

// readInput reads a file, or standard input for "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// readCalls reads a file of calls. An empty line is a call without a model, so that indexes go with line numbers.
func readCalls(name string) ([]call, error) {
	text, err := readInput(name)
	if err != nil {
		return nil, program.UsageError{Err: err}
	}
	var calls []call
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, maxLine)
	for number := 1; lines.Scan(); number++ {
		var x call
		if len(bytes.TrimSpace(lines.Bytes())) > 0 {
			if x, err = readCall(lines.Bytes()); err != nil {
				return nil, program.UsageError{Err: fmt.Errorf("%s:%d: %w", name, number, err)}
			}
		}
		calls = append(calls, x)
	}
	if err := lines.Err(); err != nil {
		return nil, program.UsageError{Err: fmt.Errorf("%s: %w", name, err)}
	}
	return calls, nil
}

func readCall(line []byte) (x call, err error) {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&x); err != nil {
		return x, err
	}
	if _, known := effects[x.Effect]; x.Model == "" || x.Effect != "" && !known || x.Timeout < 0 {
		return x, errors.New("a call needs a model, an effect that is known and no timeout below zero")
	}
	return x, nil
}
