package xds

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"hollymast/control"
)

// Transport carries a Protocol's messages to and from a control plane over gRPC. One goroutine (Run) calls the functions.
type Transport struct {
	Address     string
	Credentials credentials.TransportCredentials // nil: plain text
	Service     Service
	Variant     Variant // of aggregated discovery
	Seed        uint64  // of the random part of the backoff
	Now         func() control.Micros
	// Refresh asks for all that has arrived to be handled; the channel received is closed once it is. It may be nil.
	Refresh <-chan chan struct{}
	// GracePeriod is the time within which a change of the endpoint list must take effect; 0: the resources are no list.
	GracePeriod time.Duration
	// Dial opens a connection; nil: over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnUpdate is called after each call of the protocol that may have changed something.
	OnUpdate func(now control.Micros)
	// OnComplete is called with the time as of which all that the control plane had sent was handled, on a stream that it
	// has answered. It may be nil.
	OnComplete func(asOf control.Micros)
	Log        func(text string)
}

const (
	// maxMessageSize is far above ten thousand endpoints with metadata, which are some 2 MB.
	maxMessageSize = 64 << 20
	// pingAfter and pingTimeout bound how long a connection that broke without a sign goes unnoticed.
	pingAfter, pingTimeout = 10 * time.Second, 3 * time.Second
)

// Run keeps a stream to the control plane, with backoff between attempts, until the context ends. The error says that the
// address or the credentials can't be used.
func (t Transport) Run(ctx context.Context, protocol Protocol) error {
	dialer := &dialer{dial: t.Dial}
	if dialer.dial == nil {
		dialer.dial = dialTCP
	}
	conn, err := t.newConn(dialer)
	if err != nil {
		return err
	}
	defer conn.Close()
	backoff := NewBackoff(t.Seed)
	var urgentUntil time.Time
	for ctx.Err() == nil {
		conn.ResetConnectBackoff() // the backoff is ours, not gRPC's
		end := t.runStream(ctx, conn, dialer, protocol)
		if ctx.Err() != nil {
			break
		}
		protocol.Disconnected(t.Now())
		t.notify(protocol)
		switch {
		case end.answered:
			backoff.Reset()
		case end.requested:
			urgentUntil = time.Now().Add(t.GracePeriod)
		}
		wait := backoff.NextWithin(t.maxWait(urgentUntil))
		t.Log("the stream from " + t.Address + " ended (" + end.err.Error() + "); the next attempt is in " + wait.Round(time.Millisecond).String())
		t.wait(ctx, protocol, wait)
	}
	return nil
}

func (t Transport) newConn(dialer *dialer) (*grpc.ClientConn, error) {
	creds := t.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return grpc.NewClient("passthrough:///"+t.Address,
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(dialer.connect),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout, PermitWithoutStream: true}))
}

// maxWait bounds the next wait. After a stream that had its requests and ended without an answer, the next attempt is well
// within the grace: what that stream would have sent may be in force since.
func (t Transport) maxWait(urgentUntil time.Time) time.Duration {
	if time.Now().Before(urgentUntil) {
		return t.GracePeriod / 4
	}
	return maxBackoff
}

// wait waits, and meanwhile serves the protocol's timer and refreshes: without a stream nothing has arrived.
func (t Transport) wait(ctx context.Context, protocol Protocol, duration time.Duration) {
	end := time.NewTimer(duration)
	defer end.Stop()
	timer := time.NewTimer(t.tick(protocol))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-end.C:
			return
		case <-timer.C:
			timer.Reset(t.tick(protocol))
			t.notify(protocol)
		case done := <-t.Refresh:
			close(done)
		}
	}
}

// tick calls the protocol's Tick and returns how long to wait until the next call.
func (t Transport) tick(protocol Protocol) time.Duration {
	const never = time.Hour // the next message sets the timer anew
	now := t.Now()
	next := protocol.Tick(now)
	if next == 0 {
		return never
	}
	return time.Duration(max(0, next-now)) * time.Microsecond
}

// notify reports a possible change and logs what the protocol has to say.
func (t Transport) notify(protocol Protocol) {
	t.OnUpdate(t.Now())
	for _, line := range protocol.TakeLogLines() {
		t.Log(line)
	}
}
