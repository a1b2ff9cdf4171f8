package xds

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/fakeserver"
	"hollymast/internal/membership"
	"hollymast/internal/platformtest"
)

const testGrace = 2 * time.Second

// readGate blocks the reads of a connection, to simulate a process that is stopped.
type readGate struct {
	mu      sync.Mutex   // reads block while it is locked
	waiting atomic.Int32 // number of reads that wait for mu
}

type gatedConn struct {
	*net.TCPConn
	gate *readGate
}

func (c gatedConn) Read(b []byte) (int, error) {
	c.gate.waiting.Add(1)
	c.gate.mu.Lock()
	c.gate.waiting.Add(-1) // under the lock: while the gate is locked, a read counted as waiting has not passed it
	c.gate.mu.Unlock()
	return c.TCPConn.Read(b)
}

// holdsUnread reports whether the bytes that have arrived but were not read contain text. This relies on gRPC sending messages
// uncompressed, which is its default.
func (c gatedConn) holdsUnread(t *testing.T, text string) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 64<<10)
	n := 0
	raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return bytes.Contains(buffer[:max(n, 0)], []byte(text))
}

// A refresh handles a change that has arrived in the socket but was not read from the connection yet.
func TestRefreshHandlesUnreadChange(t *testing.T) {
	for name, variant := range variants {
		t.Run(name, func(t *testing.T) {
			plane, err := fakeserver.NewControlPlane()
			if err != nil {
				t.Fatal(err)
			}
			defer plane.Stop()
			publish := func(first fakeserver.Endpoint) {
				plane.Update(func(clusters map[string][]fakeserver.Endpoint) {
					endpoints := newEndpoints(healthy, healthy)
					first.Address = endpoints[0].Address
					endpoints[0] = first
					clusters["c"] = endpoints
				})
			}
			publish(fakeserver.Endpoint{Health: healthy})
			var gate readGate
			conns := make(chan gatedConn, 4)
			m := membership.New(membership.DefaultBounds)
			var mu sync.Mutex
			list := map[string]control.ServerState{}
			refresh := make(chan chan struct{})
			var complete atomic.Int64
			transport := Transport{Address: plane.Address(), Variant: variant, Now: now, Refresh: refresh, GracePeriod: testGrace, Log: func(string) {},
				OnComplete: func(asOf control.Micros) { complete.Store(int64(asOf)) },
				Dial: func(ctx context.Context, address string) (net.Conn, error) {
					c, err := dialTCP(ctx, address)
					if err != nil {
						return nil, err
					}
					gated := gatedConn{TCPConn: c.(*net.TCPConn), gate: &gate}
					conns <- gated
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
			go func() { done <- transport.Run(ctx, NewClient(m, "router-0", "a", variant, DefaultBounds)) }()
			defer func() {
				stop()
				if err := <-done; err != nil {
					t.Error(err)
				}
			}()
			platformtest.WaitFor(t, "the first list", func() bool { return state() == control.Ready })
			conn := <-conns
			gate.mu.Lock()
			// A read that has already passed the gate would take the next update, so send updates until a read waits at the gate.
			updates := 0
			platformtest.WaitFor(t, "the reader at the gate", func() bool {
				if gate.waiting.Load() > 0 {
					return true
				}
				updates++
				publish(fakeserver.Endpoint{Health: healthy, Cell: fmt.Sprint("cell ", updates)})
				return false
			})
			const marker = "cell-of-the-draining-server"
			publish(fakeserver.Endpoint{Health: draining, Cell: marker})
			platformtest.WaitFor(t, "the change is in the socket", func() bool { return conn.holdsUnread(t, marker) })
			if got := state(); got != control.Ready {
				t.Errorf("before the refresh the server is in state %d", got)
			}
			refreshed, requestedAt := make(chan struct{}), now()
			refresh <- refreshed
			select {
			case <-refreshed:
				t.Error("the refresh completed before the reader could read what had arrived")
			case <-time.After(20 * time.Millisecond):
			}
			gate.mu.Unlock()
			<-refreshed
			if got := state(); got != control.Draining {
				t.Errorf("after the refresh the server is in state %d", got)
			}
			if got := control.Micros(complete.Load()); got < requestedAt {
				t.Errorf("complete as of %v before the refresh", requestedAt-got)
			}
		})
	}
}

// A stream that ends without an answer is opened again within half the grace period, however long the control plane was down
// before. While the control plane is unreachable, the waits between attempts grow.
func TestUnansweredStreamIsRetriedWithinGrace(t *testing.T) {
	plane, err := fakeserver.NewControlPlane()
	if err != nil {
		t.Fatal(err)
	}
	defer plane.Stop()
	plane.SetStalled(true) // it accepts streams but sends nothing
	dialed := make(chan time.Time, 100)
	var mu sync.Mutex
	down := true
	transport := Transport{Address: plane.Address(), Now: now, GracePeriod: testGrace, Log: func(string) {}, OnUpdate: func(control.Micros) {},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			dialed <- time.Now()
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
		done <- transport.Run(ctx, NewClient(membership.New(membership.DefaultBounds), "router-0", "a", StateOfTheWorld, DefaultBounds))
	}()
	defer func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	const attempts = 6 // 100 ms doubled five times: the next wait would be up to 3.2 s, half of it random
	var dialTimes [attempts]time.Time
	for i := range dialTimes {
		dialTimes[i] = <-dialed
	}
	if first, last := dialTimes[1].Sub(dialTimes[0]), dialTimes[attempts-1].Sub(dialTimes[attempts-2]); last < 4*first {
		t.Errorf("the first wait is %v, the last %v", first, last)
	}
	mu.Lock()
	down = false
	mu.Unlock()
	platformtest.WaitFor(t, "a stream", func() bool { _, streams, _ := plane.Counts(); return streams == 1 })
	droppedAt := time.Now()
	plane.DropStreams(false)
	platformtest.WaitFor(t, "another stream", func() bool { _, streams, _ := plane.Counts(); return streams == 2 })
	const slack = 100 * time.Millisecond
	if took := time.Since(droppedAt); took > testGrace/2+slack {
		t.Errorf("the stream was opened again after %v", took)
	}
}

// Guards against a fleet that goes on opening streams each quarter of the grace period at a crowded control plane that ends each
// one without an answer: the quick attempts are for one grace period, then the waits grow.
func TestControlPlaneThatEndsStreamsUnansweredGetsRest(t *testing.T) {
	const (
		grace    = 500 * time.Millisecond
		duration = 6 * time.Second
		limit    = 14 // 7 within the first grace period, then waits of 0.8 s doubled, half of them random; without rest there are 60
	)
	plane, err := fakeserver.NewControlPlane()
	if err != nil {
		t.Fatal(err)
	}
	defer plane.Stop()
	plane.SetStalled(true) // it accepts streams but sends nothing
	transport := Transport{Address: plane.Address(), Now: now, GracePeriod: grace, Log: func(string) {}, OnUpdate: func(control.Micros) {}}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- transport.Run(ctx, NewClient(membership.New(membership.DefaultBounds), "router-0", "a", StateOfTheWorld, DefaultBounds))
	}()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		plane.DropStreams(false)
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, streams, _ := plane.Counts(); streams > limit {
		t.Errorf("opened %d streams in %v", streams, duration)
	}
}
