package platform

import (
	"cmp"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// writeQueue writes to one connection what others hand over without waiting. Its goroutine lives only while there is something
// to write.
type writeQueue struct {
	mu             sync.Mutex
	conn           net.Conn // nil: not up yet
	queue          []queuedFrame
	queuedBytes    int
	maxQueuedBytes int  // bytes that may wait
	writing        bool // the goroutine runs
	closing        bool // the connection ends with the last of it
	closed         bool
	// firstWrite writes the first bytes of a parcel with a check; nil: the system's call.
	firstWrite func(fd int, b []byte) (int, error)
	// written, where there is one, is closed when nothing is written any more: with the last of it only this direction of
	// the connection ends, and whoever reads the other closes it.
	written chan struct{}
}

// queuedFrame is one message. Begin may be nil: else it writes the first bytes by calling write, which never waits, or withdraws the
// parcel. Write tells whether any byte is out; begin is called again once the connection has room, and in a moment where it did
// neither.
type queuedFrame struct {
	data []byte
	// encode, where there is one, gives data, right before each try to write the first byte: guards against a deadline in it that was
	// true when the parcel was handed over, before a dial or a wait for room.
	encode func() []byte
	size   int // of what encode gives, at most
	begin  func(write func() bool) (withdrawn bool)
	wrote  func(whole bool)
}

// writeTimeout bounds a write: a reader that takes nothing for this long is gone, or means harm.
const writeTimeout = 2 * time.Second

// frameRestTimeout bounds the rest of a message whose first bytes are out and that tells a deadline. Guards against a deadline that is read
// when the message has come whole, much later: two thirds of the 0.15 s by which it may exceed what the client has left.
const frameRestTimeout = 100 * time.Millisecond

// post hands over a message; no tells that the connection takes none any more. Guards against an end that asks and does
// not read: beyond its bound the connection is closed.
func (o *writeQueue) post(p queuedFrame) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.closing {
		return false
	}
	p.size = max(p.size, len(p.data))
	if o.queuedBytes+p.size > o.maxQueuedBytes {
		o.closeLocked()
		return false
	}
	o.queue = append(o.queue, p)
	o.queuedBytes += p.size
	o.start()
	return true
}

func (o *writeQueue) start() {
	if o.conn != nil && !o.writing && !o.closed {
		o.writing = true
		go o.write()
	}
}

// connected tells that the connection stands.
func (o *writeQueue) connected(conn net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conn = conn
	if o.closed || o.closing && len(o.queue) == 0 {
		o.finish()
		return
	}
	if len(o.queue) > 0 {
		o.start()
	}
}

// closeWhenWritten closes the connection once all that waits is written.
func (o *writeQueue) closeWhenWritten() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closing = true
	if !o.writing && len(o.queue) == 0 {
		o.finish()
	}
}

// finish ends a connection on which all is written. Guards against the reset that a close makes of input nobody read: it
// may overtake the last answer, so that the direction that is read stays open for a little where somebody reads it.
func (o *writeQueue) finish() {
	half, ok := o.conn.(interface{ CloseWrite() error })
	if !ok || o.written == nil || o.closed {
		o.closeLocked()
		return
	}
	o.closed = true
	half.CloseWrite()
	close(o.written)
}

// close closes it at once.
func (o *writeQueue) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closeLocked()
}

func (o *writeQueue) closeLocked() {
	if !o.closed && o.written != nil {
		close(o.written)
	}
	o.closed = true
	o.queue, o.queuedBytes = nil, 0
	if o.conn != nil {
		o.conn.Close()
	}
}

// empty tells that nothing waits or is being written.
func (o *writeQueue) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed || !o.writing && len(o.queue) == 0
}

func (o *writeQueue) write() {
	for {
		o.mu.Lock()
		if len(o.queue) == 0 || o.closed {
			o.writing = false
			if o.closing && !o.closed {
				o.finish()
			}
			o.mu.Unlock()
			return
		}
		p := o.queue[0]
		o.queue[0] = queuedFrame{}
		if o.queue = o.queue[1:]; len(o.queue) == 0 {
			o.queue = nil
		}
		o.queuedBytes -= p.size
		o.mu.Unlock()
		o.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := 0, error(nil)
		if p.begin != nil {
			if n, err = writeFirst(o.conn, &p, o.firstWrite); n == 0 && err == nil {
				continue // withdrawn
			}
			if p.encode != nil && n < len(p.data) {
				o.conn.SetWriteDeadline(time.Now().Add(frameRestTimeout))
			}
		}
		if err == nil {
			var more int
			more, err = o.conn.Write(p.data[n:])
			n += more
		}
		if p.wrote != nil && (n > 0 || p.begin == nil) {
			p.wrote(n == len(p.data))
		}
		if err != nil {
			o.close()
		}
	}
}

// writeFirst writes the first bytes of a parcel, how many it tells; 0 with no error where it was withdrawn. Guards against a check
// before the first byte that is no longer true at the first byte: where the connection has no room, the check comes again.
func writeFirst(conn net.Conn, p *queuedFrame, firstWrite func(fd int, b []byte) (int, error)) (n int, err error) {
	if firstWrite == nil {
		firstWrite = syscall.Write
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	for range writeTimeout / writePause {
		var failed error
		again := false
		err = raw.Write(func(fd uintptr) bool {
			room, asked := true, false
			write := func() bool {
				asked = true
				if p.encode != nil {
					p.data = p.encode()
				}
				n, failed = retryInterrupted(func() (int, error) { return firstWrite(int(fd), p.data) })
				if errors.Is(failed, syscall.EAGAIN) {
					room, failed = false, nil
				}
				return n > 0
			}
			failed = nil
			withdrawn := p.begin(write)
			again = !withdrawn && (!asked || n == 0 && localFailure(failed))
			return withdrawn || room
		})
		if !again || err != nil {
			return n, cmp.Or(failed, err)
		}
		time.Sleep(writePause) // outside of the connection's write, which its close waits for
	}
	return 0, os.ErrDeadlineExceeded
}

// writePause is how soon a first byte is tried again that this machine had no means for, or that waits for a reader: the check before
// it comes again as well.
const writePause = time.Millisecond
