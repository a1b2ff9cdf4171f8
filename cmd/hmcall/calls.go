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

// call is one line of a file of calls. An empty effect, tenant or timeout takes the value of its flag.
type call struct {
	Model          string          `json:"model"`
	Request        json.RawMessage `json:"request"`
	Effect         string          `json:"effect"`
	IdempotencyKey string          `json:"mark"`
	Tenant         string          `json:"tenant"`
	Timeout        int64           `json:"timeout"` // milliseconds
}

// effects maps the values of --effect and of a call's effect field.
var effects = map[string]client.Effect{
	"run-once":      client.NonIdempotent,
	"restartable":   client.Idempotent,
	"fingerprinted": client.IdempotentByKey,
}

// emptyRequest is the default body of a call.
var emptyRequest = []byte(`{"inputs":[]}`)

// maxLine bounds a line of a file of calls in bytes.
const maxLine = 64 << 20

// readInput reads a file, or standard input for "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// readCalls reads a file of calls. An empty line becomes a call without a model, so that indexes match line numbers.
func readCalls(name string) ([]call, error) {
	text, err := readInput(name)
	if err != nil {
		return nil, program.UsageError{Err: err}
	}
	var calls []call
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, maxLine)
	for number := 1; lines.Scan(); number++ {
		var input call
		if len(bytes.TrimSpace(lines.Bytes())) > 0 {
			if input, err = readCall(lines.Bytes()); err != nil {
				return nil, program.UsageError{Err: fmt.Errorf("%s:%d: %w", name, number, err)}
			}
		}
		calls = append(calls, input)
	}
	if err := lines.Err(); err != nil {
		return nil, program.UsageError{Err: fmt.Errorf("%s: %w", name, err)}
	}
	return calls, nil
}

// readCall parses and validates one line of a file of calls.
func readCall(line []byte) (input call, err error) {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&input); err != nil {
		return input, err
	}
	if _, known := effects[input.Effect]; input.Model == "" || input.Effect != "" && !known || input.Timeout < 0 {
		return input, errors.New("a call needs a model; its effect must be valid and its timeout not negative")
	}
	return input, nil
}
