package control

import "testing"

// Without request classes there is no latency objective to use for a load time; learned state must still be applicable.
func TestLearnedLoadsWithoutClasses(t *testing.T) {
	b := New(testNow, 1, Deployment{})
	b.ApplyLearned(testNow, &LearnedState{SavedAt: testNow, Servers: []LearnedServer{{Server: 1}}, Functions: []LearnedFunction{
		{ID: 7, Lanes: 1, Instances: []LearnedInstance{{Server: 1, Loading: 1, LoadingSince: testNow}}}}})
	if got := b.loadTime(nil); got != 0 {
		t.Errorf("got a load time of %d, want 0", got)
	}
}
