package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/google/renameio/v2"

	"hollymast/internal/program"
	"hollymast/internal/rest"
)

// routerCommand holds the arguments and flags of "hmprobe router". The flags are named after the fields.
type routerCommand struct {
	Address string `arg:"" help:"The router's admin address."`
	Ask     string `arg:"" enum:"state,snapshot,record-start,record-stop" help:"state, snapshot, record-start or record-stop."`
	Folder  string `help:"Folder for the recording, as a path on the router's machine." type:"path"`
	Output  string `short:"o" help:"Write the response to this file." type:"path"`
}

const (
	// routerTimeout bounds the request. A state with many thousand functions takes only a part of it.
	routerTimeout = 10 * time.Second
	// maxAnswer bounds the response body in bytes. It is far larger than a snapshot of a large fleet.
	maxAnswer = 1 << 30
)

// Run sends the request to the router and prints the response or writes it to the output file.
func (r routerCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), routerTimeout)
	defer cancel()
	limits := rest.DefaultLimits
	limits.MaxBody = maxAnswer
	conn, err := rest.Dial(ctx, r.Address, &limits)
	if err != nil {
		return err
	}
	defer conn.Close()
	response, _, err := conn.Do(r.request(), time.Now().Add(routerTimeout))
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return fmt.Errorf("%s responded with status %d: %s", r.Address, response.Status, response.Body)
	}
	if r.Output != "" {
		return renameio.WriteFile(r.Output, response.Body, 0o600)
	}
	if r.Ask == "snapshot" {
		return program.UsageError{Err: errors.New("a snapshot is binary data: specify a file with --output")}
	}
	fmt.Println(string(response.Body))
	return nil
}

func (r routerCommand) request() *rest.Request {
	request := &rest.Request{Method: http.MethodGet, Target: "/router/" + r.Ask, Header: rest.Header{"Host": {r.Address}}}
	switch r.Ask {
	case "record-start":
		request.Method, request.Target = http.MethodPost, "/router/record/start?folder="+url.QueryEscape(r.Folder)
	case "record-stop":
		request.Method, request.Target = http.MethodPost, "/router/record/stop"
	}
	return request
}
