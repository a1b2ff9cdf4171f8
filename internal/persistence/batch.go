package persistence

// Round is a group of entries on its way to the disk.
type Batch struct {
	written chan struct{}
	done    chan struct{}
	err     error // before done is closed
	lost    bool  // before written is closed

	// The writer's own.
	entries  []Entry
	released bool // written is closed
}

func newBatch() *Batch { return &Batch{written: make(chan struct{}), done: make(chan struct{})} }

// Written is closed once a killed process would leave the group behind, or it can't be kept: see Lost. What matters for
// seconds only need not wait for more: a machine that lost its power is away for longer.
func (r *Batch) Written() <-chan struct{} { return r.written }

// Done is closed once the group is kept as the journal promises, or can't be: see Err.
func (r *Batch) Done() <-chan struct{} { return r.done }

// Err tells, once Done is closed, why the group is not kept.
func (r *Batch) Err() error { return r.err }

// Lost tells, once Written is closed, that the group was not even written.
func (r *Batch) Lost() bool { return r.lost }

func (r *Batch) release() {
	if !r.released {
		r.released = true
		close(r.written)
	}
}

func (r *Batch) fail(err error) {
	r.err = err
	if !r.released {
		r.lost = true
	}
	r.release()
	close(r.done)
}
