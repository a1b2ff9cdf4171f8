package modelcheck

import (
	"testing"

	"pgregory.net/rapid"

	"hollymast/internal/attempt"
)

// Random walks through larger worlds find nothing either, and what a walk finds is minimized.
func TestRandomWalks(t *testing.T) {
	large := newConfig(func(c *Config) {
		c.Requests, c.Servers, c.Routers, c.Effects = 3, 3, 2, []string{"run-once", "fingerprinted", "restartable"}
		c.CallFailures, c.Drains, c.Restarts, c.ClientCancels, c.DelayedWrites, c.RouterStalls = 4, 1, 1, 1, 1, 1
	})
	rapid.Check(t, func(t *rapid.T) {
		trace, _, err := RandomWalk(large, &ProductionRules, Properties, 60, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "step") })
		if err != nil {
			t.Fatal(err)
		}
		if trace != nil {
			t.Fatalf("%s", trace.Text(&ProductionRules))
		}
	})
	bad := ProductionRules
	bad.Withdraw = func(s attempt.Stage) (attempt.Stage, bool) { return s, false }
	for seed := uint64(0); seed < 2000; seed++ {
		trace, _, err := RandomWalk(large, &bad, []Property{nothingAfterAnswer}, 120, SeededPicker(seed))
		if err != nil {
			t.Fatal(err)
		}
		if trace != nil {
			if len(trace.Steps) > 4 {
				t.Errorf("not minimized:\n%s", trace.Text(&bad))
			}
			return
		}
	}
	t.Error("no walk found what was planted")
}
