package xds

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/fakeserver"
	"hollymast/internal/membership"
	"hollymast/internal/platformtest"
)

const testGrace = 2 * time.Second

// gatedConn is a connection whose reader can be held up, as that of a process that was stopped.
type gatedConn struct {
	*net.TCPConn
	mu *sync.Mutex // held: nothing is read
}

func (c gatedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.mu.Unlock() //lint:ignore SA2001 nothing is guarded: a held lock holds the read up
	return c.TCPConn.Read(b)
}

// A look at the list takes in what has come though nobody has read it from the connection yet.
func TestLookCrossesAnUnreadChange(t *testing.T) {
	for name, delta := range map[string]bool{"state of the world": false, "delta": true} {
		t.Run(name, func(t *testing.T) {
			plane, err := fakeserver.NewPlane()
			if err != nil {
				t.Fatal(err)
			}
			defer plane.Stop()
			tell := func(states ...string) {
				plane.Change(func(cs map[string][]fakeserver.Member) {
					ms := members(healthy, healthy)
					for i, s := range states {
						if s == "draining" {
							ms[i].Health = draining
						}
					}
					cs["c"] = ms
				})
			}
			tell("ready", "ready")
			var gate sync.Mutex
			conns := make(chan *trackedConn, 4)
			m := membership.New(membership.DefaultBounds)
			var mu sync.Mutex
			list := map[string]control.ServerState{}
			refresh := make(chan chan struct{})
			var complete atomic.Int64
			source := Transport{Address: plane.Address(), Delta: delta, Now: now, Refresh: refresh, Grace: testGrace, Log: func(string) {},
				OnComplete: func(asOf control.Micros) { complete.Store(int64(asOf)) },
				Dial: func(ctx context.Context, address string) (net.Conn, error) {
					c, err := dialTCP(ctx, address)
					if err != nil {
						return nil, err
					}
					gated := gatedConn{TCPConn: c.(*net.TCPConn), mu: &gate}
					conns <- &trackedConn{Conn: gated}
					return gated, nil
				},
				OnUpdate: func(control.Micros) {
					mu.Lock()
					defer mu.Unlock()
					for _, e := range m.List() {
						list[e.Address] = e.State
					}
				}}
			state := func() control.ServerState {
				mu.Lock()
				defer mu.Unlock()
				return list["127.0.0.1:80"]
			}
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- source.Run(ctx, NewClient(m, "router-0", "a", delta, DefaultBounds)) }()
			defer func() {
				stop()
				if err := <-done; err != nil {
					t.Error(err)
				}
			}()
			platformtest.WaitFor(t, "the first list", func() bool { return state() == control.Ready })
			conn := <-conns
			conn.reading.Store(true)
			gate.Lock()
			// A read that is under way takes one message more than the gate allows: it is given one that says nothing new.
			tell("ready", "ready")
			time.Sleep(50 * time.Millisecond)
			tell("draining", "ready")
			platformtest.WaitFor(t, "the change is in the socket", conn.unread)
			looked, asked := make(chan struct{}), now()
			refresh <- looked
			select {
			case <-looked:
				t.Error("the look ended before what had come was read")
			case <-time.After(20 * time.Millisecond):
			}
			gate.Unlock()
			<-looked
			if got := state(); got != control.Draining {
				t.Errorf("after the look the server is in state %d", got)
			}
			if got := control.Micros(complete.Load()); got < asked {
				t.Errorf("complete as of %v before the look", asked-got)
			}
		})
	}
}

// A control plane that breaks off before it has answered is asked again within half the grace, however long it was down before;
// one that can't be reached is asked less and less often.
func TestBreakBeforeTheAnswer(t *testing.T) {
	plane, err := fakeserver.NewPlane()
	if err != nil {
		t.Fatal(err)
	}
	defer plane.Stop()
	plane.Stall(true) // it says nothing, and then cuts
	up := make(chan time.Time, 100)
	var mu sync.Mutex
	down := true
	source := Transport{Address: plane.Address(), Now: now, Grace: testGrace, Log: func(string) {}, OnUpdate: func(control.Micros) {},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			up <- time.Now()
			mu.Lock()
			defer mu.Unlock()
			if down {
				return nil, net.ErrClosed
			}
			return dialTCP(ctx, address)
		}}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- source.Run(ctx, NewClient(membership.New(membership.DefaultBounds), "router-0", "a", false, DefaultBounds))
	}()
	defer func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	const tries = 6 // 100 ms doubled five times: the next wait would be 3.2 s, half of it by chance
	var at [tries]time.Time
	for i := range at {
		at[i] = <-up
	}
	if first, last := at[1].Sub(at[0]), at[tries-1].Sub(at[tries-2]); last < 4*first {
		t.Errorf("the first wait is %v, the last %v", first, last)
	}
	mu.Lock()
	down = false
	mu.Unlock()
	platformtest.WaitFor(t, "a stream", func() bool { _, streams, _ := plane.Counts(); return streams == 1 })
	began := time.Now()
	plane.Cut(false)
	platformtest.WaitFor(t, "another stream", func() bool { _, streams, _ := plane.Counts(); return streams == 2 })
	const slack = 100 * time.Millisecond
	if took := time.Since(began); took > testGrace/2+slack {
		t.Errorf("asked again after %v", took)
	}
}
