package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"hollymast/internal/gateway"
	"hollymast/internal/inifile"
	"hollymast/internal/probe"
	"hollymast/internal/program"
)

// serversCommand holds the arguments and flags of "hmprobe servers". The flags are named after the fields unless tagged.
type serversCommand struct {
	Addresses []string      `arg:"" optional:"" help:"Addresses of servers."`
	List      string        `help:"Endpoint list file (INI) with more servers to probe." type:"path"`
	Rate      float64       `default:"10" help:"Maximum number of servers probed per second."`
	Patience  time.Duration `default:"2s" help:"Timeout of each call."`
	Model     string        `name:"run" help:"Send one inference request for this function to each server."`
	Body      string        `default:"{\"inputs\":[]}" help:"Body of that request."`
	JSON      bool          `name:"json" help:"Print a JSON object for each server."`
}

// addresses returns the addresses of the servers in the arguments and in the list file.
func (s serversCommand) addresses() ([]string, error) {
	addresses := s.Addresses
	if s.List != "" {
		f, err := inifile.Load(s.List)
		if err != nil {
			return nil, program.UsageError{Err: err}
		}
		list, err := gateway.ParseEndpoints(f)
		if err != nil {
			return nil, err
		}
		for _, e := range list {
			addresses = append(addresses, e.Address)
		}
	}
	if len(addresses) == 0 || s.Rate <= 0 {
		return nil, program.UsageError{Err: errors.New("no servers are given, or the rate is not positive")}
	}
	return addresses, nil
}

// finished is the Result of a successful request.
const finished = "finished"

// Run probes one server after another. The error states how many are not ready or did not answer the request successfully.
func (s serversCommand) Run() error {
	addresses, err := s.addresses()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / s.Rate))
	defer ticker.Stop()
	failed := 0
	for i, address := range addresses {
		if i > 0 {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		report := probe.CheckServer(ctx, address, probe.Options{Timeout: s.Patience, Model: s.Model, Body: []byte(s.Body)})
		if !report.Ready || report.Request != nil && report.Request.Result != finished {
			failed++
		}
		if s.JSON {
			if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
				return err
			}
			continue
		}
		fmt.Print(report.Text())
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d servers are not ready or failed the request", failed, len(addresses))
	}
	return nil
}
