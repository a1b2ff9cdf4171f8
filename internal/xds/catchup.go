package xds

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
)

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
