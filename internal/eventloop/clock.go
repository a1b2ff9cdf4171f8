package eventloop

import (
	"time"

	"hollymast/control"
)

// Clock is a service's clock. It starts at Unix time, which endpoint lists and stored state use, and is monotonic from
// then on, whatever happens to the wall clock. Any goroutine may read it.
type Clock struct {
	Epoch     control.Micros // the clock's time at the start, in microseconds of Unix time
	startedAt time.Time
}

// NewClock returns a clock that starts now, with the given wall clock time.
func NewClock(wall time.Time) Clock {
	return Clock{Epoch: control.Micros(wall.UnixMicro()), startedAt: time.Now()}
}

// Now returns the current time on the clock.
func (c Clock) Now() control.Micros { return c.At(time.Now()) }

// At converts a time to the clock.
func (c Clock) At(t time.Time) control.Micros {
	return c.Epoch + control.Micros(t.Sub(c.startedAt)/time.Microsecond)
}

// Time converts a time on the clock to a time.Time.
func (c Clock) Time(at control.Micros) time.Time { return c.startedAt.Add(duration(at - c.Epoch)) }

// duration converts microseconds to a time.Duration.
func duration(t control.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
