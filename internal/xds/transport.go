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

// Source is a control plane, and what is done with what it tells. All of its functions are called by one goroutine.
type Transport struct {
	Address     string
	Credentials credentials.TransportCredentials // nil: plain text
	Delta       bool
	Service     Service
	Seed        uint64 // of the waits
	Now         func() control.Micros
	Refresh     <-chan chan struct{} // what has come is taken in before each of these is closed; may be nil
	// Grace is within which a change of the list must be heeded; 0: this is no list.
	Grace    time.Duration
	Dial     func(ctx context.Context, address string) (net.Conn, error) // nil: over TCP
	OnUpdate func(now control.Micros)                                    // something was taken in
	Log      func(text string)                                           // for the log
	// Complete hears as of when all that the control plane had told was taken in, on a stream that it has answered; may be nil.
	OnComplete func(asOf control.Micros)
}

// Follow follows a control plane until the context ends, over as many streams as it takes.
func (s Transport) Run(ctx context.Context, protocol Protocol) error {
	creds := s.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	dialer := &dialer{dial: s.Dial}
	if dialer.dial == nil {
		dialer.dial = dialTCP
	}
	conn, err := grpc.NewClient("passthrough:///"+s.Address, grpc.WithTransportCredentials(creds), grpc.WithContextDialer(dialer.connect),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
		// A control plane that is silent without a word is found out within this time.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 3 * time.Second, PermitWithoutStream: true}))
	if err != nil {
		return err
	}
	defer conn.Close()
	waits := NewBackoff(s.Seed)
	var urgentUntil time.Time
	for ctx.Err() == nil {
		conn.ResetConnectBackoff() // the waits between tries are ours
		answered := false
		requested, err := s.runStream(ctx, conn, dialer, protocol, func() { answered = true; waits.Reset() })
		if ctx.Err() != nil {
			break
		}
		protocol.Disconnected(s.Now())
		s.notify(protocol)
		if requested && !answered {
			urgentUntil = time.Now().Add(s.Grace)
		}
		wait := waits.NextWithin(s.maxWait(urgentUntil))
		s.Log("the stream from " + s.Address + " ended (" + err.Error() + "); the next try is in " + wait.Round(time.Millisecond).String())
		s.wait(ctx, protocol, wait)
	}
	return nil
}

// longestWait bounds the next wait. A stream that was asked and ended with no answer is asked for again within the grace: what it
// would have told may hold since.
func (s Transport) maxWait(urgentUntil time.Time) time.Duration {
	if time.Now().Before(urgentUntil) {
		return s.Grace / 4
	}
	return maxBackoff
}

// pause waits, and goes on answering refreshes and the follower's own alarms.
func (s Transport) wait(ctx context.Context, protocol Protocol, duration time.Duration) {
	end := time.NewTimer(duration)
	defer end.Stop()
	timer := time.NewTimer(s.tick(protocol))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-end.C:
			return
		case <-timer.C:
			timer.Reset(s.tick(protocol))
			s.notify(protocol)
		case done := <-s.Refresh:
			close(done)
		}
	}
}

// untilTick has the follower end what is over, and gives how long to wait for its next alarm.
func (s Transport) tick(protocol Protocol) time.Duration {
	const never = time.Hour
	now := s.Now()
	next := protocol.Tick(now)
	if next == 0 {
		return never
	}
	return time.Duration(max(0, next-now)) * time.Microsecond
}

func (s Transport) notify(protocol Protocol) {
	s.OnUpdate(s.Now())
	for _, text := range protocol.TakeLogLines() {
		s.Log(text)
	}
}
