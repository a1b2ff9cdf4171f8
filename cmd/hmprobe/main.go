// Command hmprobe asks servers what a router would ask, and tells what a router would conclude.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"hollymast/internal/gateway"
	"hollymast/internal/inifile"
	"hollymast/internal/probe"
	"hollymast/internal/program"
	"hollymast/internal/rest"
)

type cli struct {
	program.CommonFlags
	Servers serversCommand `cmd:"" help:"Probe servers by address, or all of a list file. Runs nothing unless told to."`
	Router  routerCommand  `cmd:"" help:"Ask a router at its admin address: state, snapshot, record-start, record-stop."`
}

func main() {
	var c cli
	ctx := program.Parse(&c, "hmprobe", `Asks servers what a router would ask, and tells what it would conclude from their answers.

Examples:

  hmprobe servers --list workers.ini              runs nothing

  hmprobe servers 127.0.0.1:9001 --run forecast-a

  hmprobe router 127.0.0.1:8081 record-start --folder /var/tmp/rec`)
	program.Exit("hmprobe", ctx.Run())
}

type serversCommand struct {
	Addresses []string      `arg:"" optional:"" help:"Addresses of servers."`
	List      string        `help:"List of servers (INI) to probe as well." type:"path"`
	Rate      float64       `default:"10" help:"Servers a second, at most."`
	Patience  time.Duration `default:"2s" help:"For each call."`
	Model     string        `name:"run" help:"Run one job of this function on each server."`
	Body      string        `default:"{\"inputs\":[]}" help:"That job's body."`
	JSON      bool          `name:"json" help:"Print a JSON object for each server."`
}

func (s serversCommand) addresses() ([]string, error) {
	to := s.Addresses
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
			to = append(to, e.Address)
		}
	}
	if len(to) == 0 || s.Rate <= 0 {
		return nil, program.UsageError{Err: errors.New("no server is named, or no rate")}
	}
	return to, nil
}

// Run probes each server in turn; a server that is not ready is a failure found.
func (s serversCommand) Run() error {
	addresses, err := s.addresses()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	pace := time.NewTicker(time.Duration(float64(time.Second) / s.Rate))
	defer pace.Stop()
	bad := 0
	for i, address := range addresses {
		if i > 0 {
			select {
			case <-pace.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		f := probe.Server(ctx, address, probe.Options{Timeout: s.Patience, Model: s.Model, Body: []byte(s.Body)})
		if !f.Ready || f.Run != nil && f.Run.Result != "finished" {
			bad++
		}
		if s.JSON {
			if err := json.NewEncoder(os.Stdout).Encode(f); err != nil {
				return err
			}
			continue
		}
		fmt.Print(f.Text())
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d servers are not well", bad, len(addresses))
	}
	return nil
}

type routerCommand struct {
	Address string `arg:"" help:"The router's admin address."`
	Ask     string `arg:"" enum:"state,snapshot,record-start,record-stop" help:"state, snapshot, record-start or record-stop."`
	Folder  string `help:"Folder of the recording, as the router sees it." type:"path"`
	Output  string `short:"o" help:"Write the answer to this file." type:"path"`
}

// Run asks the router and prints its answer.
func (r routerCommand) Run() error {
	q := &rest.Request{Method: "GET", Target: "/router/" + r.Ask, Header: rest.Header{"Host": {r.Address}}}
	switch r.Ask {
	case "record-start":
		q.Method, q.Target = "POST", "/router/record/start?folder="+url.QueryEscape(r.Folder)
	case "record-stop":
		q.Method, q.Target = "POST", "/router/record/stop"
	}
	const patience = 10 * time.Second // a state of many thousand functions takes a part of one
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	limits := rest.DefaultLimits
	limits.MaxBody = 1 << 30
	c, err := rest.Dial(ctx, r.Address, &limits)
	if err != nil {
		return err
	}
	defer c.Close()
	p, _, err := c.Do(q, time.Now().Add(patience))
	if err != nil {
		return err
	}
	if p.Status != 200 {
		return fmt.Errorf("%s answers %d: %s", r.Address, p.Status, p.Body)
	}
	if r.Output != "" {
		return renameio.WriteFile(r.Output, p.Body, 0o600)
	}
	if r.Ask == "snapshot" {
		return program.UsageError{Err: errors.New("a snapshot is no text: name a file with --output")}
	}
	fmt.Println(string(p.Body))
	return nil
}
