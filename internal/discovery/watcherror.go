package discovery

import (
	"fmt"
	"time"
)

// WatchError reports that a watch has ended, or receives nothing. It tells a server that never answered from one that fell silent.
type WatchError struct {
	Address  string
	Answered bool          // the server has sent at least one line
	Age      time.Duration // since the subscription
	Err      error         // why the watch ended, or why another is opened beside it
}

// Error implements error.
func (e *WatchError) Error() string {
	answer := "unanswered"
	if e.Answered {
		answer = "answered"
	}
	return fmt.Sprintf("watch at %s, %v old, %s: %v", e.Address, e.Age.Round(time.Millisecond), answer, e.Err)
}

// Unwrap returns Err.
func (e *WatchError) Unwrap() error { return e.Err }

// describe adds to err what is known about the watch that it concerns.
func (w *watch) describe(now time.Time, err error) error {
	if w.conn == nil {
		return err
	}
	return &WatchError{Address: w.address, Answered: w.answered(), Age: now.Sub(w.subscribedAt), Err: err}
}
