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
func (q *writeQueue) post(frame queuedFrame) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.closing {
		return false
	}
	frame.size = max(frame.size, len(frame.data))
	if q.queuedBytes+frame.size > q.maxQueuedBytes {
		q.closeLocked()
		return false
	}
	q.queue = append(q.queue, frame)
	q.queuedBytes += frame.size
	q.start()
	return true
}

func (q *writeQueue) start() {
	if q.conn != nil && !q.writing && !q.closed {
		q.writing = true
		go q.write()
	}
}

// connected tells that the connection stands.
func (q *writeQueue) connected(conn net.Conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.conn = conn
	if q.closed || q.closing && len(q.queue) == 0 {
		q.finish()
		return
	}
	if len(q.queue) > 0 {
		q.start()
	}
}

// closeWhenWritten closes the connection once all that waits is written.
func (q *writeQueue) closeWhenWritten() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closing = true
	if !q.writing && len(q.queue) == 0 {
		q.finish()
	}
}

// finish ends a connection on which all is written. Guards against the reset that a close makes of input nobody read: it
// may overtake the last answer, so that the direction that is read stays open for a little where somebody reads it.
func (q *writeQueue) finish() {
	half, ok := q.conn.(interface{ CloseWrite() error })
	if !ok || q.written == nil || q.closed {
		q.closeLocked()
		return
	}
	q.closed = true
	half.CloseWrite()
	close(q.written)
}

// close closes it at once.
func (q *writeQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closeLocked()
}

func (q *writeQueue) closeLocked() {
	if !q.closed && q.written != nil {
		close(q.written)
	}
	q.closed = true
	q.queue, q.queuedBytes = nil, 0
	if q.conn != nil {
		q.conn.Close()
	}
}

// empty tells that nothing waits or is being written.
func (q *writeQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed || !q.writing && len(q.queue) == 0
}

func (q *writeQueue) write() {
	for {
		q.mu.Lock()
		if len(q.queue) == 0 || q.closed {
			q.writing = false
			if q.closing && !q.closed {
				q.finish()
			}
			q.mu.Unlock()
			return
		}
		frame := q.queue[0]
		q.queue[0] = queuedFrame{}
		if q.queue = q.queue[1:]; len(q.queue) == 0 {
			q.queue = nil
		}
		q.queuedBytes -= frame.size
		q.mu.Unlock()
		q.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := 0, error(nil)
		if frame.begin != nil {
			if n, err = writeFirst(q.conn, &frame, q.firstWrite); n == 0 && err == nil {
				continue // withdrawn
			}
			if frame.encode != nil && n < len(frame.data) {
				q.conn.SetWriteDeadline(time.Now().Add(frameRestTimeout))
			}
		}
		if err == nil {
			var more int
			more, err = q.conn.Write(frame.data[n:])
			n += more
		}
		if frame.wrote != nil && (n > 0 || frame.begin == nil) {
			frame.wrote(n == len(frame.data))
		}
		if err != nil {
			q.close()
		}
	}
}

// writeFirst writes the first bytes of a parcel, how many it tells; 0 with no error where it was withdrawn. Guards against a check
// before the first byte that is no longer true at the first byte: where the connection has no room, the check comes again.
func writeFirst(conn net.Conn, frame *queuedFrame, firstWrite func(fd int, b []byte) (int, error)) (n int, err error) {
	if firstWrite == nil {
		firstWrite = syscall.Write
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	for range writeTimeout / writePause {
		var writeErr error
		retry := false
		err = raw.Write(func(fd uintptr) bool {
			room, attempted := true, false
			write := func() bool {
				attempted = true
				if frame.encode != nil {
					frame.data = frame.encode()
				}
				n, writeErr = retryInterrupted(func() (int, error) { return firstWrite(int(fd), frame.data) })
				if errors.Is(writeErr, syscall.EAGAIN) {
					room, writeErr = false, nil
				}
				return n > 0
			}
			writeErr = nil
			withdrawn := frame.begin(write)
			retry = !withdrawn && (!attempted || n == 0 && localFailure(writeErr))
			return withdrawn || room
		})
		if !retry || err != nil {
			return n, cmp.Or(writeErr, err)
		}
		time.Sleep(writePause) // outside of the connection's write, which its close waits for
	}
	return 0, os.ErrDeadlineExceeded
}

// writePause is how soon a first byte is tried again that this machine had no means for, or that waits for a reader: the check before
// it comes again as well.
const writePause = time.Millisecond
