package platform

import (
	"cmp"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"hollymast/internal/netfail"
)

// writeQueue writes frames to one connection; adding one does not block. Its goroutine lives only while there is
// something to write.
type writeQueue struct {
	mu             sync.Mutex
	conn           net.Conn // nil: not connected yet
	queue          []queuedFrame
	queuedBytes    int
	maxQueuedBytes int  // bytes that may be queued
	writing        bool // the goroutine runs
	closing        bool // the connection closes with the last frame
	closed         bool
	// firstWrite writes the first bytes of a frame that has a begin check; nil: the system call.
	firstWrite func(fd int, b []byte) (int, error)
	// written, if not nil, is closed when nothing is written any more: with the last frame only the write direction
	// of the connection is closed, and whoever reads the other closes the connection.
	written chan struct{}
}

// queuedFrame is one message. If begin is not nil, it either writes the first bytes by calling write, which never
// blocks and reports whether any byte is out, or withdraws the frame. begin is called again once the connection has
// room, and after writePause where it did neither.
type queuedFrame struct {
	data []byte
	// encode, if not nil, returns data right before each attempt to write the first byte. It guards against a stated
	// deadline that was true when the frame was queued, before a dial or a wait for room.
	encode        func() []byte
	size          int // upper bound of encode's result
	checkAndWrite func(write func() bool) (withdrawn bool)
	writeEnded    func(whole bool)
}

// writeTimeout bounds one write: a peer that accepts nothing for this long is gone or malicious.
const writeTimeout = 2 * time.Second

// frameRestTimeout bounds the rest of a frame that states a deadline, once its first bytes are out. It guards against
// a deadline that is read much later, when the frame is complete: two thirds of the 0.15 s by which it may exceed
// what the client has left.
const frameRestTimeout = 100 * time.Millisecond

// post queues a frame, and reports false if the connection accepts none any more. It guards against a peer that asks
// and does not read: beyond maxQueuedBytes the connection is closed.
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

// start starts the goroutine unless it runs. The lock is held.
func (q *writeQueue) start() {
	if q.conn != nil && !q.writing && !q.closed {
		q.writing = true
		go q.write()
	}
}

// connected sets the connection once it is established, and starts to write what is queued.
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

// closeWhenWritten closes the connection once all that is queued is written.
func (q *writeQueue) closeWhenWritten() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closing = true
	if !q.writing && len(q.queue) == 0 {
		q.finish()
	}
}

// finish ends a connection on which all is written. It guards against the reset that closing with unread input
// causes, which may overtake the last answer: the read direction stays open where somebody drains it. The lock is
// held.
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

// close closes the connection at once; what is queued is dropped.
func (q *writeQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closeLocked()
}

// closeLocked is close with the lock held.
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

// empty reports whether nothing is queued or being written.
func (q *writeQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed || !q.writing && len(q.queue) == 0
}

// write writes what is queued, one frame after the other, until nothing is left.
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
		if frame.checkAndWrite != nil {
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
		if frame.writeEnded != nil && (n > 0 || frame.checkAndWrite == nil) {
			frame.writeEnded(n == len(frame.data))
		}
		if err != nil {
			q.close()
		}
	}
}

// writeFirst writes a frame's first bytes and returns their number; 0 without an error: the frame was withdrawn. It
// guards against a check before the first byte that no longer holds at that byte: where the connection has no room,
// the check is repeated.
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
			withdrawn := frame.checkAndWrite(write)
			retry = !withdrawn && (!attempted || n == 0 && netfail.IsLocal(writeErr))
			return withdrawn || room
		})
		if !retry || err != nil {
			return n, cmp.Or(writeErr, err)
		}
		time.Sleep(writePause) // outside of raw.Write, for which Close would wait
	}
	return 0, os.ErrDeadlineExceeded
}

// writePause is how soon a first byte is retried that failed for a shortage of this machine's, or that waits for the
// client's reader; the check before it is repeated too.
const writePause = time.Millisecond
