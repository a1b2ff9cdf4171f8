package xds

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
)

// errStreamEnded says that a stream has delivered its last message.
var errStreamEnded = errors.New("the stream has ended")

// deliveryTime is how long after the last byte was read its message may take to come out of the stream: some switches
// between gRPC's goroutines.
const deliveryTime = 2 * time.Millisecond

// quietWaits is how many waits in a row must bring no message before what was just read counts as delivered. The clock alone
// can't tell: where the machine is short of processors, deliveryTime may pass before gRPC's goroutines have run at all. Each
// wait lets them run first.
const quietWaits = 3

// catchUp handles all that has arrived, also what is not read from the connection yet, within a quarter of the grace. It
// guards against a decision on an endpoint list that a change has already reached, as after a stall of the process.
func (s *session) catchUp() error {
	deadline := time.Now().Add(s.transport.GracePeriod / 4)
	quiet, needed := 0, 0 // waits in a row without a message; how many there must be
	for {
		var wait time.Duration
		if !s.dialer.settled() {
			quiet, needed = 0, quietWaits
		}
		if quiet < needed && time.Now().Before(deadline) {
			wait = deliveryTime
		}
		m, err := nextMessage(s.received, wait)
		switch {
		case err != nil:
			return err
		case m != nil:
			quiet = 0
			if err := s.handle(m); err != nil {
				return err
			}
		case wait == 0:
			return nil
		default:
			quiet++
		}
	}
}

// nextMessage returns the next message, or nil where none comes within the wait. The error is errStreamEnded.
func nextMessage(received <-chan proto.Message, wait time.Duration) (proto.Message, error) {
	select { // a message that is there comes before the timer, however late this goroutine runs
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
