package discovery

import (
	"fmt"
	"time"
)

// WatchError reports that a watch has ended. It tells a server that never answered from one that fell silent.
type WatchError struct {
	Address  string
	Answered bool          // the server has sent at least one line
	Age      time.Duration // since the subscription
	Err      error         // why the watch ended
}

// Error implements error.
func (e *WatchError) Error() string {
	answer := "unanswered"
	if e.Answered {
		answer = "answered"
	}
	return fmt.Sprintf("watch at %s ended after %v, %s: %v", e.Address, e.Age.Round(time.Millisecond), answer, e.Err)
}

// Unwrap returns why the watch ended.
func (e *WatchError) Unwrap() error { return e.Err }

// describeEnd adds to err what is known about the watch that it ended. w is nil if the server could not be reached.
func describeEnd(w *watch, err error) error {
	if w == nil {
		return err
	}
	return &WatchError{Address: w.address, Answered: w.answered, Age: time.Since(w.subscribedAt), Err: err}
}
