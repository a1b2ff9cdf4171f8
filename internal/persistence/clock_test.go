package persistence

import (
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

// machine is a machine with a wall clock that may be stepped beside a real one that goes on.
type testMachine struct {
	real, wall control.Micros
	boot       uint64
	booted     control.Micros
}

// starts gives a life's time at its start, and its clock: from then on its time goes with the real one.
func (m *testMachine) start() (now control.Micros, c Clock) {
	return m.wall, Clock{m.boot, m.wall - (m.real - m.booted)}
}

func (m *testMachine) pass(t control.Micros) { m.real += t; m.wall += t }

// Through lives, boots and steps of the wall clock nothing that was sent counts as younger than it is for a window, as older for what
// is remembered and for rations, and within a boot both are exact. What allows orders counts only where its time is sure.
func TestTimesOfEarlierIncarnations(t *testing.T) {
	const keep = 10 * minute
	rapid.Check(t, func(t *rapid.T) {
		dir := newFaultFS(func(int, string, string) fault { return noFault })
		m := &testMachine{real: 1000 * minute, wall: 1e15, boot: 1}
		known := rapid.Bool().Draw(t, "clocks are known")
		type sending struct {
			at   control.Micros // real
			boot uint64
		}
		var sent []sending
		for range rapid.IntRange(2, 5).Draw(t, "lives") {
			now, clock := m.start()
			if !known {
				clock = Clock{}
			}
			o := testOptions(dir, SyncGrouped, func(error) {})
			o.Clock, o.Now, o.Retention = clock, now, keep
			j, es, told, err := o.Open("dir")
			if err != nil || len(told) > 0 {
				t.Fatal(err, told)
			}
			memory := &control.LearnedState{}
			marks := j.Recovered(es).Apply(memory, keep, 1e6)
			colds := map[control.ServerID]control.Micros{}
			for _, s := range memory.Servers {
				colds[s.Server] = s.SlowStartSends[len(s.SlowStartSends)-1]
			}
			for i, s := range sent {
				age := m.real - s.at
				sure := known && s.boot == m.boot
				may := marks.MayHaveRun(now, IdempotencyKey(i+1))
				if len(may) == 0 {
					if age < keep {
						t.Fatalf("sent %d ago, of boot %d, is forgotten", age, s.boot)
					}
					continue
				}
				if at := may[0].At; at > now-age || sure && at != now-age || !sure && at != 0 {
					t.Fatalf("sent %d ago, of boot %d, counts as of %d ago", age, s.boot, now-at)
				}
				if at := colds[control.ServerID(i)]; at < now-age || sure && at != now-age || at > now {
					t.Fatalf("to a cold server %d ago, of boot %d, counts as of %d ago", age, s.boot, now-at)
				}
				if latest := marks.attempts[IdempotencyKey(i+1)][0].latestAt; latest < now-age || sure && latest != now-age {
					t.Fatalf("sent %d ago, of boot %d, is remembered from %d ago", age, s.boot, now-latest)
				}
			}
			for _, at := range memory.Admitted {
				if !slices.ContainsFunc(sent, func(s sending) bool { return s.boot == m.boot && at == now-(m.real-s.at) }) {
					t.Fatalf("taken at %d", at-now)
				}
			}
			begun := m.real
			for range rapid.IntRange(1, 3).Draw(t, "sendings") {
				m.pass(control.Micros(rapid.IntRange(0, 4*minute).Draw(t, "pause")))
				at := now + m.real - begun // the life's own time: no step reaches it
				<-j.Append(Entry{EntryAttempt, at, IdempotencyKey(len(sent) + 1), 1}, Entry{EntrySlowStartSend, at, 0, control.ServerID(len(sent))}, Entry{EntryAdmitted, at, 1, 0}).Done()
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

// A memory's times are brought along within a boot. Else what limits us counts as just now, and the rest is dropped.
func TestStateOfAnotherClock(t *testing.T) {
	of := func() *State {
		k := testState(1000)
		k.Learned.LoadCommands, k.Learned.Admitted, k.Learned.Answers = []control.Micros{900}, []control.Micros{910}, []control.Micros{920}
		k.Learned.Servers[0].SlowStartSends, k.Learned.Servers[0].StartedAt = []control.Micros{930}, 5
		k.Clock = &Clock{7, 100}
		return k
	}
	read := func(k *State) *State {
		t.Helper()
		b, err := Encode(k)
		if err == nil {
			k, err = Decode(b)
		}
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	k := read(of())
	k.Rebase(Clock{7, 3600e6 + 100}, 3600e6+2000) // the clock was set an hour ahead, and 1 ms has passed
	m := k.Learned
	if m.SavedAt != 3600e6+1000 || m.LoadCommands[0] != 3600e6+900 || m.Admitted[0] != 3600e6+910 || m.Answers[0] != 3600e6+920 ||
		m.Servers[0].SlowStartSends[0] != 3600e6+930 || m.Servers[0].StartedAt != 5 || m.Functions[0].Instances[0].LastUsed != 3600e6+1000 {
		t.Errorf("within a boot: %+v", m)
	}
	unknown := of()
	unknown.Clock = nil
	late := of()
	late.Clock.Offset = -1e9 // it would be of a time to come
	for name, k := range map[string]*State{"another boot": {Learned: of().Learned, Clock: &Clock{8, 100}}, "no clock": read(unknown), "to come": late} {
		k.Rebase(Clock{7, 100}, 5000)
		if m := k.Learned; m.SavedAt != 0 || !slices.Equal(m.LoadCommands, []control.Micros{5000}) || len(m.Admitted)+len(m.Answers) > 0 || !slices.Equal(m.Servers[0].SlowStartSends, []control.Micros{5000}) {
			t.Errorf("%s: %+v", name, m)
		}
	}
	b, err := os.ReadFile("testdata/format1")
	if err != nil {
		t.Fatal(err)
	}
	if k, err = Decode(b); err != nil || k.Clock != nil {
		t.Fatal(err)
	}
	k.Rebase(Clock{7, 100}, 5000)
	if k.Learned.SavedAt != 0 || len(k.Learned.Functions) < 10 {
		t.Errorf("an older file: %+v", k.Learned)
	}
}

// The machine's clock goes on with real time, and names the same boot each time.
func TestReadClock(t *testing.T) {
	a, b := ReadClock(1e15), ReadClock(1e15+3600e6)
	if by, sure := b.aheadOf(a); !sure || by < 3599e6 || by > 3600e6 {
		t.Errorf("ahead by %d, sure %t", by, sure)
	}
	if es := a.entries(); true {
		if c, is := readClockEntries(es); !is || c != a {
			t.Errorf("noted %+v", c)
		}
	}
}
