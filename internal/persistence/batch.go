package persistence

// Batch is a group of entries on its way to the disk. Entries that are appended while another batch is written share one.
type Batch struct {
	written chan struct{}
	done    chan struct{}
	err     error // set before done is closed
	lost    bool  // set before written is closed

	// The writer goroutine's own.
	entries  []Entry
	released bool // written is closed
}

// Written is closed once the batch would survive the process, or can't be written (see Lost). It is enough for what matters for seconds
// only, since a machine that loses its power is away for longer.
func (b *Batch) Written() <-chan struct{} { return b.written }

// Done is closed once the batch is as durable as the journal's sync policy promises, or can't be (see Err).
func (b *Batch) Done() <-chan struct{} { return b.done }

// Err returns, once Done is closed, why the batch is not durable. It is ErrClosed or ErrOverflow.
func (b *Batch) Err() error { return b.err }

// Lost reports, once Written is closed, that the batch was not even written.
func (b *Batch) Lost() bool { return b.lost }

func newBatch() *Batch { return &Batch{written: make(chan struct{}), done: make(chan struct{})} }

func (b *Batch) release() {
	if !b.released {
		b.released = true
		close(b.written)
	}
}

func (b *Batch) fail(err error) {
	b.err = err
	if !b.released {
		b.lost = true
	}
	b.release()
	close(b.done)
}
