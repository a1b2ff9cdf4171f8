package xds

import (
	"context"
	"errors"
	"net"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	secrets "github.com/envoyproxy/go-control-plane/envoy/service/secret/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/proto"

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

// Protocol is the client's side of one protocol, free of I/O.
type Protocol interface {
	Connected(now control.Micros) []proto.Message
	HandleResponse(now control.Micros, m proto.Message) []proto.Message
	Disconnected(now control.Micros)
	Tick(now control.Micros) (next control.Micros)
	TakeLogLines() []string
}

// speaker is a protocol that has something to say of itself, at the time that Tick gives.
type timedSender interface {
	TimedRequests(now control.Micros) []proto.Message
	TimedRequestsSent() // all of it was handed to the stream
}

// Kind is which service is followed.
type Service uint8

// The services: aggregated discovery, that of secrets, and load reporting.
const (
	AggregatedDiscovery Service = iota
	SecretDiscovery
	LoadReporting
)

// largest is the largest message taken: ten thousand endpoints with metadata are some 2 MB.
const maxMessageSize = 64 << 20

// stream is either variant of the protocol.
type stream interface {
	send(proto.Message) error
	receive() (proto.Message, error)
}

type fullStream struct {
	discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient // that of secrets is the same
}

func (s fullStream) send(m proto.Message) error { return s.Send(m.(*discovery.DiscoveryRequest)) }

func (s fullStream) receive() (proto.Message, error) { return s.Recv() }

type loadStatsStream struct {
	lrs.LoadReportingService_StreamLoadStatsClient
}

func (r loadStatsStream) send(m proto.Message) error { return r.Send(m.(*lrs.LoadStatsRequest)) }

func (r loadStatsStream) receive() (proto.Message, error) { return r.Recv() }

type deltaStream struct {
	discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
}

func (s deltaStream) send(m proto.Message) error { return s.Send(m.(*discovery.DeltaDiscoveryRequest)) }

func (s deltaStream) receive() (proto.Message, error) { return s.Recv() }

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

// one is one stream's life. Asked tells that the first requests were sent.
func (s Transport) runStream(ctx context.Context, conn *grpc.ClientConn, d *dialer, f Protocol, answered func()) (asked bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := discovery.NewAggregatedDiscoveryServiceClient(conn)
	var st stream
	switch {
	case s.Service == LoadReporting:
		c, err := lrs.NewLoadReportingServiceClient(conn).StreamLoadStats(ctx)
		if err != nil {
			return false, err
		}
		st = loadStatsStream{c}
	case s.Service == SecretDiscovery:
		c, err := secrets.NewSecretDiscoveryServiceClient(conn).StreamSecrets(ctx)
		if err != nil {
			return false, err
		}
		st = fullStream{c}
	case s.Delta:
		c, err := client.DeltaAggregatedResources(ctx)
		if err != nil {
			return false, err
		}
		st = deltaStream{c}
	default:
		c, err := client.StreamAggregatedResources(ctx)
		if err != nil {
			return false, err
		}
		st = fullStream{c}
	}
	for _, m := range f.Connected(s.Now()) {
		if err := st.send(m); err != nil {
			return false, err
		}
	}
	heard := make(chan proto.Message, 64)
	ended := make(chan error, 1)
	go func() {
		for {
			m, err := st.receive()
			if err != nil {
				ended <- err
				close(heard)
				return
			}
			select {
			case heard <- m:
			case <-ctx.Done():
				ended <- ctx.Err()
				close(heard)
				return
			}
		}
	}()
	level := false
	take := func(m proto.Message) error {
		answered()
		level = true
		for _, answer := range f.HandleResponse(s.Now(), m) {
			if err := st.send(answer); err != nil {
				return err
			}
		}
		s.notify(f)
		return nil
	}
	defer func() { // the receiver ends with the context
		cancel()
		for range heard {
		}
	}()
	alarm := time.NewTimer(s.tick(f))
	defer alarm.Stop()
	for {
		select {
		case m, open := <-heard:
			if !open {
				return true, <-ended
			}
			if err := take(m); err != nil {
				return true, err
			}
			alarm.Reset(s.tick(f))
		case <-alarm.C:
			if sp, speaks := f.(timedSender); speaks {
				for _, m := range sp.TimedRequests(s.Now()) {
					if err := st.send(m); err != nil {
						return true, err
					}
				}
				sp.TimedRequestsSent()
			}
			alarm.Reset(s.tick(f))
			s.notify(f)
		case looked := <-s.Refresh:
			asOf := s.Now()
			err := s.catchUp(d, heard, take)
			if err == nil && level && s.OnComplete != nil {
				s.OnComplete(asOf)
			}
			close(looked)
			switch {
			case errors.Is(err, errStreamEnded):
				return true, <-ended
			case err != nil:
				return true, err
			}
		}
	}
}

// errClosed tells that a stream gave its last message.
var errStreamEnded = errors.New("the stream has ended")

// settled is how long after the last byte was read its message may take to come out of the stream: some goroutines' turns.
const deliveryTime = 2 * time.Millisecond

// catchUp takes in all that has come, also what is not read from the connection yet, for a quarter of the grace at most.
func (s Transport) catchUp(dialer *dialer, received <-chan proto.Message, handle func(proto.Message) error) error {
	deadline := time.Now().Add(s.Grace / 4)
	for {
		var wait time.Duration
		if !dialer.settled() && time.Now().Before(deadline) {
			wait = deliveryTime
		}
		m, err := nextMessage(received, wait)
		switch {
		case err != nil:
			return err
		case m != nil:
			if err := handle(m); err != nil {
				return err
			}
		case wait == 0:
			return nil
		}
	}
}

// next gives the next message, or nil where none comes within a time.
func nextMessage(received <-chan proto.Message, wait time.Duration) (proto.Message, error) {
	select { // what is there comes before the time
	case m, open := <-received:
		return m, endedUnless(open)
	default:
	}
	if wait == 0 {
		return nil, nil
	}
	select {
	case m, open := <-received:
		return m, endedUnless(open)
	case <-time.After(wait):
		return nil, nil
	}
}

func endedUnless(open bool) error {
	if open {
		return nil
	}
	return errStreamEnded
}
