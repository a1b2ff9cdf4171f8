package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"

	"hollymast/internal/chaostest"
	"hollymast/internal/experiment"
	"hollymast/internal/program"
)

// run runs one trial, on one thread.
func (spec *experimentSpec) run(ctx context.Context, t experiment.Trial) (experiment.Result, error) {
	size := spec.sizes[t.Size]
	cmd := emulateCmd{Script: spec.script, Seed: t.Seed, Seeds: 1, Threads: 1, Routers: size.routers, Workers: size.workers, Jobs: size.calls,
		Clients: size.clients, Manners: string(size.behavior)}
	var result *chaostest.SimulationResult
	var err error
	switch name := spec.programs[t.Arm]; {
	case name != "":
		result, err = cmd.runProgram(ctx, name)
	case t.Arm == undampedArm:
		cmd.Undamped = true
		result, _, err = cmd.simulate(spec.scenarioText, balancerArm, t.Seed)
	default:
		result, _, err = cmd.simulate(spec.scenarioText, t.Arm, t.Seed)
	}
	if err != nil {
		return experiment.Result{}, fmt.Errorf("%s, %s, seed %d: %w", t.Size, t.Arm, t.Seed, err)
	}
	r := experiment.Result{Trial: t, InTime: result.InTime, WeightedInTime: result.WeightedInTime, Requests: result.Requests, Attempts: result.Attempts,
		Loads: result.Loads, Hash: result.Hash}
	for _, rule := range result.Rules {
		r.Violations += rule.ViolationCount
	}
	return r, nil
}

// runProgram runs the scenario with another build of this program.
func (e emulateCmd) runProgram(ctx context.Context, name string) (*chaostest.SimulationResult, error) {
	args := []string{"emulate", "--json", "--threads=1", "--script=" + e.Script, fmt.Sprint("--seed=", e.Seed), fmt.Sprint("--routers=", e.Routers),
		fmt.Sprint("--workers=", e.Workers), fmt.Sprint("--jobs=", e.Jobs), fmt.Sprint("--clients=", e.Clients), "--manners=" + e.Manners}
	out, err := exec.CommandContext(ctx, name, args...).Output()
	var exitErr *exec.ExitError
	if err != nil && !(errors.As(err, &exitErr) && exitErr.ExitCode() == program.ExitFailure) { // violations are part of the result
		return nil, err
	}
	result := &chaostest.SimulationResult{}
	line, _, _ := bytes.Cut(out, []byte("\n"))
	return result, json.Unmarshal(line, result)
}
