package persistence

// Batch is a group of entries that are written to disk together. Entries that are appended while another batch is being written form one
// batch.
type Batch struct {
	written chan struct{}
	done    chan struct{}
	err     error // set before done is closed
	lost    bool  // set before written is closed

	// Used only by the writer goroutine.
	entries       []Entry
	writtenClosed bool // written is closed
}

// Written returns a channel that is closed once the batch has been written, so that it survives a crash of the process, or can't be
// written (see Lost). Waiting for it is enough for entries that matter only for seconds, since a machine that loses power is down for
// longer.
func (b *Batch) Written() <-chan struct{} { return b.written }

// Done returns a channel that is closed once the batch is as durable as the journal's sync policy promises, or has failed (see Err).
func (b *Batch) Done() <-chan struct{} { return b.done }

// Err returns why the batch failed: ErrClosed, ErrOverflow, or nil if it is durable. It is valid once Done is closed.
func (b *Batch) Err() error { return b.err }

// Lost reports whether the batch was never written. It is valid once Written is closed.
func (b *Batch) Lost() bool { return b.lost }

func newBatch() *Batch { return &Batch{written: make(chan struct{}), done: make(chan struct{})} }

func (b *Batch) markWritten() {
	if !b.writtenClosed {
		b.writtenClosed = true
		close(b.written)
	}
}

func (b *Batch) fail(err error) {
	b.err = err
	if !b.writtenClosed {
		b.lost = true
	}
	b.markWritten()
	close(b.done)
}
