package xds

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

// session is one stream to a control plane, from its first request to its end.
type session struct {
	transport Transport
	dialer    *dialer
	protocol  Protocol
	stream    stream
	received  chan proto.Message // closed at the stream's end
	ended     chan error         // gets the reason why the stream ended
	answered  bool               // the control plane has sent a message
}

// streamEnd describes how a stream ended.
type streamEnd struct {
	requested bool // the first requests were sent
	answered  bool // the control plane has sent a message
	err       error
}

// maxQueuedMessages limits the messages that the receiving goroutine reads ahead.
const maxQueuedMessages = 64

// runStream opens a stream and runs it until it ends or the context does.
func (t Transport) runStream(ctx context.Context, conn *grpc.ClientConn, dialer *dialer, protocol Protocol) streamEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := t.openStream(ctx, conn)
	if err != nil {
		return streamEnd{err: err}
	}
	s := &session{transport: t, dialer: dialer, protocol: protocol, stream: stream,
		received: make(chan proto.Message, maxQueuedMessages), ended: make(chan error, 1)}
	if err := s.send(protocol.Connected(t.Now())); err != nil {
		return streamEnd{err: err}
	}
	go s.receive(ctx)
	defer func() { // the receiving goroutine ends with the context
		cancel()
		for range s.received {
		}
	}()
	err = s.run()
	return streamEnd{requested: true, answered: s.answered, err: err}
}

// receive reads the stream until it or the context ends.
func (s *session) receive(ctx context.Context) {
	defer close(s.received)
	for {
		m, err := s.stream.receive()
		if err != nil {
			s.ended <- err
			return
		}
		select {
		case s.received <- m:
		case <-ctx.Done():
			s.ended <- ctx.Err()
			return
		}
	}
}

// run handles messages, the protocol's timer and refreshes until the stream ends, and returns the reason.
func (s *session) run() error {
	t := &s.transport
	timer := time.NewTimer(t.tick(s.protocol))
	defer timer.Stop()
	for {
		select {
		case m, open := <-s.received:
			if !open {
				return <-s.ended
			}
			if err := s.handle(m); err != nil {
				return err
			}
			timer.Reset(t.tick(s.protocol))
		case <-timer.C:
			if err := s.sendTimed(); err != nil {
				return err
			}
			timer.Reset(t.tick(s.protocol))
			t.notify(s.protocol)
		case done := <-t.Refresh:
			if err := s.refresh(done); err != nil {
				return err
			}
		}
	}
}

func (s *session) send(messages []proto.Message) error {
	for _, m := range messages {
		if err := s.stream.send(m); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) handle(m proto.Message) error {
	s.answered = true
	if err := s.send(s.protocol.HandleResponse(s.transport.Now(), m)); err != nil {
		return err
	}
	s.transport.notify(s.protocol)
	return nil
}

// sendTimed sends the due requests of a protocol that is a timedSender.
func (s *session) sendTimed() error {
	sender, ok := s.protocol.(timedSender)
	if !ok {
		return nil
	}
	if err := s.send(sender.TimedRequests(s.transport.Now())); err != nil {
		return err
	}
	sender.TimedRequestsSent()
	return nil
}

// refresh handles all messages that have arrived and then closes done.
func (s *session) refresh(done chan struct{}) error {
	asOf := s.transport.Now()
	err := s.catchUp()
	if err == nil && s.answered && s.transport.OnComplete != nil {
		s.transport.OnComplete(asOf)
	}
	close(done)
	if errors.Is(err, errStreamEnded) {
		return <-s.ended
	}
	return err
}
