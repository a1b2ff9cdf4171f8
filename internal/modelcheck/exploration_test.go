package modelcheck

import (
	"context"
	"slices"
	"testing"
)

func newConfig(change func(c *Config)) Config {
	c := MinimalConfig
	c.Effects = slices.Clone(c.Effects)
	change(&c)
	return c
}

func explore(t *testing.T, c Config, rules *Rules) *Result {
	t.Helper()
	x := Exploration{Config: c, Rules: rules}
	f, err := x.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// In whole small worlds nothing fails, and each time the same number of states is seen.
func TestSmallWorlds(t *testing.T) {
	for name, c := range map[string]struct {
		config Config
		states int
	}{
		"nothing goes wrong":  {newConfig(func(c *Config) {}), 15},
		"run-once, two break": {newConfig(func(c *Config) { c.Effects[0], c.Servers, c.CallFailures = "run-once", 2, 2 }), 256},
		"drained in mid-retry": {newConfig(func(c *Config) {
			c.Effects[0], c.Servers, c.CallFailures, c.Drains, c.DelayedWrites = "fingerprinted", 2, 1, 1, 1
		}), 5241},
		"groups by zone": {newConfig(func(c *Config) {
			c.Effects[0], c.Scope, c.Servers, c.CallFailures, c.Restarts = "fingerprinted", "zone", 2, 2, 1
		}), 9761},
		"a client goes":    {newConfig(func(c *Config) { c.Effects[0], c.ClientCancels, c.DelayedWrites, c.CallFailures = "run-once", 1, 1, 1 }), 817},
		"a router freezes": {newConfig(func(c *Config) { c.RouterStalls, c.Drains, c.Servers, c.CallFailures = 1, 1, 2, 1 }), 25646},
		"two requests": {newConfig(func(c *Config) {
			c.Requests, c.CallFailures, c.ClientCancels, c.Effects = 2, 1, 1, []string{"run-once", "restartable"}
		}), 9991},
		"orders": {newConfig(func(c *Config) { c.LoadCommands, c.FunctionLoaded, c.CallFailures, c.ClientCancels = true, false, 1, 1 }), 12196},
		"a server in slow start": {newConfig(func(c *Config) {
			c.SlowStartServer, c.FunctionLoaded, c.Requests, c.Routers, c.Servers = true, false, 2, 2, 2
		}), 517},
	} {
		f := explore(t, c.config, &ProductionRules)
		if f.Trace != nil {
			t.Errorf("%s: %s", name, f.Trace.Text(&ProductionRules))
		}
		if !f.Complete || f.States != c.states {
			t.Errorf("%s: complete %t, %d states, want %d", name, f.Complete, f.States, c.states)
		}
	}
}
