package xds

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
)

// errStreamEnded is returned after a stream's last message.
var errStreamEnded = errors.New("the stream has ended")

// deliveryTime is how long a message may take from the read of its last byte until the stream returns it: a few switches between
// gRPC's goroutines.
const deliveryTime = 2 * time.Millisecond

// requiredIdleWaits is how many waits of deliveryTime in a row must pass without a message before the bytes just read count as
// delivered. A single wait is not enough: on a machine that is short of CPUs, deliveryTime may pass before gRPC's goroutines have
// run at all. Each wait gives them another chance to run.
const requiredIdleWaits = 3

// catchUp handles all messages that have arrived, including bytes not read from the connection yet. It takes at most a quarter
// of the grace period. Without it, a router could decide on an outdated endpoint list although the change has already arrived,
// for example after a stall of the process.
func (s *session) catchUp() error {
	deadline := time.Now().Add(s.transport.GracePeriod / 4)
	idleWaits, requiredWaits := 0, 0 // consecutive waits without a message; how many are required
	for {
		var wait time.Duration
		if !s.dialer.allDelivered() {
			idleWaits, requiredWaits = 0, requiredIdleWaits
		}
		if idleWaits < requiredWaits && time.Now().Before(deadline) {
			wait = deliveryTime
		}
		m, err := nextMessage(s.received, wait)
		switch {
		case err != nil:
			return err
		case m != nil:
			idleWaits = 0
			if err := s.handle(m); err != nil {
				return err
			}
		case wait == 0:
			return nil
		default:
			idleWaits++
		}
	}
}

// nextMessage returns the next message, nil if none arrives within the wait, or errStreamEnded after the last one.
func nextMessage(received <-chan proto.Message, wait time.Duration) (proto.Message, error) {
	select { // take a message that is already there before the timer, however late this goroutine runs
	case m, open := <-received:
		return m, endedError(open)
	default:
	}
	if wait == 0 {
		return nil, nil
	}
	select {
	case m, open := <-received:
		return m, endedError(open)
	case <-time.After(wait):
		return nil, nil
	}
}

func endedError(open bool) error {
	if open {
		return nil
	}
	return errStreamEnded
}
