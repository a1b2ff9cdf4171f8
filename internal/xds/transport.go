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

// Transport carries a Protocol's messages to and from a control plane over gRPC. Run calls all the functions from its goroutine.
type Transport struct {
	Address     string
	Credentials credentials.TransportCredentials // nil: plain text
	Service     Service
	Variant     Variant // of aggregated discovery
	Seed        uint64  // of the random part of the backoff
	Now         func() control.Micros
	// Refresh delivers requests to handle all messages that have arrived. The received channel is closed when that is done. Refresh
	// may be nil.
	Refresh <-chan chan struct{}
	// GracePeriod is the time within which a change of the endpoint list must take effect; 0: the resources are not endpoints.
	GracePeriod time.Duration
	// Dial opens a connection; nil: a TCP connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnUpdate is called after each call of the protocol that may have changed its state.
	OnUpdate func(now control.Micros)
	// OnComplete is called after a refresh on a stream that the control plane has answered: all messages that had arrived by asOf
	// were handled. It may be nil.
	OnComplete func(asOf control.Micros)
	Log        func(text string)
}

const (
	// maxMessageSize is far above the size of ten thousand endpoints with metadata, about 2 MB.
	maxMessageSize = 64 << 20
	// pingAfter and pingTimeout limit how long a connection that broke silently goes unnoticed.
	pingAfter, pingTimeout = 10 * time.Second, 3 * time.Second
)

// Run keeps a stream to the control plane open, with backoff between attempts, until the context ends. It returns an error only if
// the address or the credentials are unusable.
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
	var fastRetryUntil time.Time // zero: no stream has ended unanswered since the last answer
	for ctx.Err() == nil {
		conn.ResetConnectBackoff() // this loop does the backoff, not gRPC
		end := t.runStream(ctx, conn, dialer, protocol)
		if ctx.Err() != nil {
			break
		}
		protocol.Disconnected(t.Now())
		t.notify(protocol)
		switch {
		case end.answered:
			backoff.Reset()
			fastRetryUntil = time.Time{}
		case end.requested && fastRetryUntil.IsZero():
			fastRetryUntil = time.Now().Add(t.GracePeriod)
		}
		wait := backoff.NextWithin(t.maxWait(fastRetryUntil))
		t.Log("the stream to " + t.Address + " ended (" + end.err.Error() + "); next attempt in " + wait.Round(time.Millisecond).String())
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

// maxWait limits the next wait. After a stream that sent its requests and ended without an answer, the next attempt follows well
// within the grace period, since the control plane may have had a change to send that is already in force. This holds for one
// grace period, so that a fleet does not keep a crowded control plane crowded.
func (t Transport) maxWait(fastRetryUntil time.Time) time.Duration {
	if time.Now().Before(fastRetryUntil) {
		return t.GracePeriod / 4
	}
	return maxBackoff
}

// wait waits for the duration and meanwhile runs the protocol's timer. It completes refreshes at once, since nothing can have arrived
// without a stream.
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
	const never = time.Hour // the next message resets the timer
	now := t.Now()
	next := protocol.Tick(now)
	if next == 0 {
		return never
	}
	return time.Duration(max(0, next-now)) * time.Microsecond
}

// notify calls OnUpdate and logs the protocol's new lines.
func (t Transport) notify(protocol Protocol) {
	t.OnUpdate(t.Now())
	for _, line := range protocol.TakeLogLines() {
		t.Log(line)
	}
}
