package modelcheck

import (
	"context"
	"slices"
	"testing"
)

// newConfig returns MinimalConfig with some changes.
func newConfig(change func(c *Config)) Config {
	c := MinimalConfig
	c.Effects = slices.Clone(c.Effects)
	change(&c)
	return c
}

// explore runs an exploration without bounds.
func explore(t *testing.T, c Config, rules *Rules) *Result {
	t.Helper()
	x := Exploration{Config: c, Rules: rules}
	result, err := x.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// No property fails in small systems that are explored completely, and the number of states is reproducible.
func TestSmallConfigs(t *testing.T) {
	for name, test := range map[string]struct {
		config Config
		states int
	}{
		"no faults":                         {newConfig(func(c *Config) {}), 15},
		"non-idempotent, two call failures": {newConfig(func(c *Config) { c.Effects[0], c.Servers, c.CallFailures = "run-once", 2, 2 }), 256},
		"drain during a retry": {newConfig(func(c *Config) {
			c.Effects[0], c.Servers, c.CallFailures, c.Drains, c.DelayedWrites = "fingerprinted", 2, 1, 1, 1
		}), 5241},
		"dedup scope is a zone": {newConfig(func(c *Config) {
			c.Effects[0], c.Scope, c.Servers, c.CallFailures, c.Restarts = "fingerprinted", "zone", 2, 2, 1
		}), 9761},
		"client cancels": {newConfig(func(c *Config) { c.Effects[0], c.ClientCancels, c.DelayedWrites, c.CallFailures = "run-once", 1, 1, 1 }), 817},
		"router stalls":  {newConfig(func(c *Config) { c.RouterStalls, c.Drains, c.Servers, c.CallFailures = 1, 1, 2, 1 }), 25646},
		"two requests": {newConfig(func(c *Config) {
			c.Requests, c.CallFailures, c.ClientCancels, c.Effects = 2, 1, 1, []string{"run-once", "restartable"}
		}), 9991},
		"load commands": {newConfig(func(c *Config) { c.LoadCommands, c.FunctionLoaded, c.CallFailures, c.ClientCancels = true, false, 1, 1 }), 12196},
		"server in slow start": {newConfig(func(c *Config) {
			c.SlowStartServer, c.FunctionLoaded, c.Requests, c.Routers, c.Servers = true, false, 2, 2, 2
		}), 517},
	} {
		result := explore(t, test.config, &ProductionRules)
		if result.Trace != nil {
			t.Errorf("%s: %s", name, result.Trace.Text(&ProductionRules))
		}
		if !result.Complete || result.States != test.states {
			t.Errorf("%s: complete %t, %d states, want %d", name, result.Complete, result.States, test.states)
		}
	}
}
