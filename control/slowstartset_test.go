package control

import (
	"math/rand/v2"
	"testing"
)

// The set's total weighted age is the sum over its servers after any changes, also with start times in the future and
// with as many servers as a large fleet has.
func TestSlowStartSetMatchesSum(t *testing.T) {
	const duration = 10 * second
	const epoch = 1_800_000_000 * second // as in microseconds since 1970
	random := rand.New(rand.NewPCG(3, 3))
	var set slowStartSet
	servers := make([]*server, 6400)
	for i := range servers {
		servers[i] = &server{Endpoint: Endpoint{Server: ServerID(i + 1), Weight: 0.5 + 4*random.Float64()}}
	}
	starts := map[*server]Micros{}
	now := Micros(epoch)
	for step := range 40_000 {
		now += Micros(random.Int64N(2000))
		s := servers[random.IntN(len(servers))]
		if random.IntN(4) == 0 {
			set.update(s, 0, 0)
			delete(starts, s)
		} else {
			at := now - Micros(random.Int64N(int64(duration))) + Micros(random.Int64N(2))*second
			set.update(s, at, milliWeightOf(s))
			starts[s] = at
		}
		if step%100 != 0 {
			continue
		}
		set.expire(now - duration)
		var want weightTime
		for s, at := range starts {
			if at <= now-duration {
				delete(starts, s)
				continue
			}
			want += milliWeightOf(s).times(max(0, now-at))
		}
		if got := set.totalAge(now); got != want || len(set.servers) != len(starts) {
			t.Fatalf("step %d: age %d of %d servers, want %d of %d", step, got, len(set.servers), want, len(starts))
		}
	}
	if len(starts) < 1000 {
		t.Errorf("%d servers at the end: too few for the test", len(starts))
	}
}
