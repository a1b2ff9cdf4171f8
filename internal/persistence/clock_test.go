package persistence

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

// testMachine has a wall clock that may be stepped, and real time.
type testMachine struct {
	real, wall control.Micros
	boot       uint64
	booted     control.Micros
}

// start returns an incarnation's time at its start, and its clock. From then on its time goes with real time.
func (m *testMachine) start() (now control.Micros, c Clock) {
	return m.wall, Clock{m.boot, m.wall - (m.real - m.booted)}
}

func (m *testMachine) pass(t control.Micros) { m.real += t; m.wall += t }

// Through restarts, boots and steps of the wall clock no attempt counts as more recent than it is for a retry window, nor as older for
// retention and limits, and within a boot both are exact. Admitted requests count only where their time is known.
func TestTimesOfEarlierIncarnations(t *testing.T) {
	const retention = 10 * minute
	rapid.Check(t, func(t *rapid.T) {
		dir := newFaultFS(func(int, string, string) fault { return noFault })
		m := &testMachine{real: 1000 * minute, wall: 1e15, boot: 1}
		known := rapid.Bool().Draw(t, "clocks are known")
		type sending struct {
			at   control.Micros // real
			boot uint64
		}
		var sent []sending
		for range rapid.IntRange(2, 5).Draw(t, "incarnations") {
			now, clock := m.start()
			if !known {
				clock = Clock{}
			}
			o := testOptions(dir, SyncGrouped, func(error) {})
			o.Clock, o.Now, o.Retention = clock, now, retention
			j, entries, warnings, err := o.Open("dir")
			if err != nil || len(warnings) > 0 {
				t.Fatal(err, warnings)
			}
			state := &control.LearnedState{}
			index := j.Recovered(entries).Apply(state, retention, 1e6)
			slowStartSends := map[control.ServerID]control.Micros{}
			for _, s := range state.Servers {
				slowStartSends[s.Server] = s.SlowStartSends[len(s.SlowStartSends)-1]
			}
			for i, s := range sent {
				age := m.real - s.at
				certain := known && s.boot == m.boot
				may := index.MayHaveRun(now, IdempotencyKey(i+1))
				if len(may) == 0 {
					if age < retention {
						t.Fatalf("sent %d ago, of boot %d, is forgotten", age, s.boot)
					}
					continue
				}
				if at := may[0].At; at > now-age || certain && at != now-age || !certain && at != 0 {
					t.Fatalf("sent %d ago, of boot %d, counts as of %d ago", age, s.boot, now-at)
				}
				if at := slowStartSends[control.ServerID(i)]; at < now-age || certain && at != now-age || at > now {
					t.Fatalf("to a server in slow start %d ago, of boot %d, counts as of %d ago", age, s.boot, now-at)
				}
				if latest := index.attempts[IdempotencyKey(i+1)][0].latestAt; latest < now-age || certain && latest != now-age {
					t.Fatalf("sent %d ago, of boot %d, is remembered from %d ago", age, s.boot, now-latest)
				}
			}
			for _, at := range state.Admitted {
				if !slices.ContainsFunc(sent, func(s sending) bool { return s.boot == m.boot && at == now-(m.real-s.at) }) {
					t.Fatalf("admitted at %d", at-now)
				}
			}
			begun := m.real
			for range rapid.IntRange(1, 3).Draw(t, "sendings") {
				m.pass(control.Micros(rapid.IntRange(0, 4*minute).Draw(t, "pause")))
				at := now + m.real - begun // the incarnation's own time: no step reaches it
				<-j.Append(Entry{EntryAttempt, at, IdempotencyKey(len(sent) + 1), 1},
					Entry{EntrySlowStartSend, at, 0, control.ServerID(len(sent))}, Entry{EntryAdmitted, at, 1, 0}).Done()
				sent = append(sent, sending{m.real, m.boot})
				m.wall += control.Micros(rapid.SampledFrom([]int{0, 0, -3600e6, -5e6, 5e6, 3600e6}).Draw(t, "step"))
			}
			j.Close()
			m.pass(control.Micros(rapid.SampledFrom([]int{1000, 100_000, 3 * minute, 12 * minute}).Draw(t, "down")))
			if rapid.IntRange(0, 3).Draw(t, "boot") == 0 {
				m.boot, m.booted = m.boot+1, m.real
			}
			m.wall += control.Micros(rapid.SampledFrom([]int{0, -3600e6, -5e6, 5e6, 3600e6}).Draw(t, "step between"))
		}
	})
}

// The machine's clock goes on with real time, and names the same boot each time.
func TestReadClock(t *testing.T) {
	a, b := ReadClock(1e15), ReadClock(1e15+3600e6)
	if by, sure := b.aheadOf(a); !sure || by < 3599e6 || by > 3600e6 {
		t.Errorf("ahead by %d, sure %t", by, sure)
	}
	if c, ok := readClockEntries(a.entries()); !ok || c != a {
		t.Errorf("read as %+v", c)
	}
}
