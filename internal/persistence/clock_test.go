package persistence

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

// testMachine simulates a machine whose wall clock may be stepped, and which may be rebooted.
type testMachine struct {
	realTime, wallTime control.Micros
	bootID             uint64
	bootedAt           control.Micros
}

// start returns the current time and the clock of an incarnation that starts now. Its time then advances with real time.
func (m *testMachine) start() (now control.Micros, c Clock) {
	return m.wallTime, Clock{m.bootID, m.wallTime - (m.realTime - m.bootedAt)}
}

func (m *testMachine) advance(t control.Micros) { m.realTime += t; m.wallTime += t }

// Across restarts, reboots and steps of the wall clock, the time of an attempt is never assumed to be later than it was when a retry window
// is checked, and never earlier when retention and limits are applied. Within one boot all times are exact. Admitted requests count only if
// their time is known.
func TestTimesOfEarlierIncarnations(t *testing.T) {
	const retention = 10 * minute
	rapid.Check(t, func(t *rapid.T) {
		dir := newFaultFS(func(int, string, string) fault { return noFault })
		m := &testMachine{realTime: 1000 * minute, wallTime: 1e15, bootID: 1}
		known := rapid.Bool().Draw(t, "clocks are known")
		type sentAttempt struct {
			at   control.Micros // in real time
			boot uint64
		}
		var sent []sentAttempt
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
				age := m.realTime - s.at
				certain := known && s.boot == m.bootID
				attempts := index.MayHaveRun(now, IdempotencyKey(i+1))
				if len(attempts) == 0 {
					if age < retention {
						t.Fatalf("attempt sent %d ago in boot %d is missing from the index", age, s.boot)
					}
					continue
				}
				if at := attempts[0].At; at > now-age || certain && at != now-age || !certain && at != 0 {
					t.Fatalf("attempt sent %d ago in boot %d counts as sent %d ago", age, s.boot, now-at)
				}
				if at := slowStartSends[control.ServerID(i)]; at < now-age || certain && at != now-age || at > now {
					t.Fatalf("attempt to a server in slow start %d ago in boot %d counts as sent %d ago", age, s.boot, now-at)
				}
				if latest := index.attempts[IdempotencyKey(i+1)][0].latestAt; latest < now-age || certain && latest != now-age {
					t.Fatalf("attempt sent %d ago in boot %d is retained from %d ago", age, s.boot, now-latest)
				}
			}
			for _, at := range state.Admitted {
				if !slices.ContainsFunc(sent, func(s sentAttempt) bool { return s.boot == m.bootID && at == now-(m.realTime-s.at) }) {
					t.Fatalf("a request admitted at %d was never sent", at-now)
				}
			}
			startedAt := m.realTime
			for range rapid.IntRange(1, 3).Draw(t, "sendings") {
				m.advance(control.Micros(rapid.IntRange(0, 4*minute).Draw(t, "pause")))
				at := now + m.realTime - startedAt // the incarnation's time, not affected by steps of the wall clock
				<-j.Append(Entry{EntryAttempt, at, IdempotencyKey(len(sent) + 1), 1},
					Entry{EntrySlowStartSend, at, 0, control.ServerID(len(sent))}, Entry{EntryAdmitted, at, 1, 0}).Done()
				sent = append(sent, sentAttempt{m.realTime, m.bootID})
				m.wallTime += control.Micros(rapid.SampledFrom([]int{0, 0, -3600e6, -5e6, 5e6, 3600e6}).Draw(t, "step"))
			}
			j.Close()
			m.advance(control.Micros(rapid.SampledFrom([]int{1000, 100_000, 3 * minute, 12 * minute}).Draw(t, "down")))
			if rapid.IntRange(0, 3).Draw(t, "boot") == 0 {
				m.bootID, m.bootedAt = m.bootID+1, m.realTime
			}
			m.wallTime += control.Micros(rapid.SampledFrom([]int{0, -3600e6, -5e6, 5e6, 3600e6}).Draw(t, "step between"))
		}
	})
}

// Two readings within one boot have the same boot id, and their offsets differ by the difference of the given times.
func TestReadClock(t *testing.T) {
	a, b := ReadClock(1e15), ReadClock(1e15+3600e6)
	if offset, known := b.offsetFrom(a); !known || offset < 3599e6 || offset > 3600e6 {
		t.Errorf("offset %d, known %t", offset, known)
	}
	if c, ok := readClockEntries(a.asEntries()); !ok || c != a {
		t.Errorf("read as %+v", c)
	}
}
