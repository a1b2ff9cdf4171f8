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

// serversCommand holds the flags of "hmprobe servers"; their names come from the fields.
type serversCommand struct {
	Addresses []string      `arg:"" optional:"" help:"Addresses of servers."`
	List      string        `help:"List of servers (INI) to probe as well." type:"path"`
	Rate      float64       `default:"10" help:"Servers a second, at most."`
	Patience  time.Duration `default:"2s" help:"For each call."`
	Model     string        `name:"run" help:"Run one job of this function on each server."`
	Body      string        `default:"{\"inputs\":[]}" help:"That job's body."`
	JSON      bool          `name:"json" help:"Print a JSON object for each server."`
}

// addresses returns the servers of the arguments and of the list file.
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
		return nil, program.UsageError{Err: errors.New("no server is named, or no rate")}
	}
	return addresses, nil
}

// finished is the result of a request that was answered.
const finished = "finished"

// Run probes each server in turn. The error says how many are not ready, or did not finish the request that was made.
func (s serversCommand) Run() error {
	addresses, err := s.addresses()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	pace := time.NewTicker(time.Duration(float64(time.Second) / s.Rate))
	defer pace.Stop()
	failed := 0
	for i, address := range addresses {
		if i > 0 {
			select {
			case <-pace.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		finding := probe.CheckServer(ctx, address, probe.Options{Timeout: s.Patience, Model: s.Model, Body: []byte(s.Body)})
		if !finding.Ready || finding.Request != nil && finding.Request.Result != finished {
			failed++
		}
		if s.JSON {
			if err := json.NewEncoder(os.Stdout).Encode(finding); err != nil {
				return err
			}
			continue
		}
		fmt.Print(finding.Text())
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d servers are not well", failed, len(addresses))
	}
	return nil
}
