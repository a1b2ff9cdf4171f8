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

// writeQueue writes frames to one connection. Adding a frame does not block. The queue's goroutine exists only while
// there is something to write.
type writeQueue struct {
	mu             sync.Mutex
	conn           net.Conn // nil until connected
	queue          []queuedFrame
	queuedBytes    int
	maxQueuedBytes int  // limit of queuedBytes
	writing        bool // the goroutine is running
	closing        bool // the connection closes after the last frame
	closed         bool
	// firstWrite writes the first bytes of a frame that has checkAndWrite; nil means the system call.
	firstWrite func(fd int, b []byte) (int, error)
	bytes      *clientBytes // counts the queued frames; nil: they are not counted
	refused    func()       // called when a frame would exceed a limit; may be nil
	waited     *peak        // longest time from post to write, in microseconds; nil: not recorded
	// written, if not nil, is closed when nothing more will be written. In that case only the write direction of the
	// connection is closed after the last frame, and the goroutine that reads closes the connection.
	written chan struct{}
}

// queuedFrame is one frame to write. If checkAndWrite is not nil, it either writes the first bytes by calling write,
// which never blocks and reports whether any byte was written, or withdraws the frame. If the connection has no room,
// checkAndWrite is called again once it has; if it neither wrote nor withdrew, it is called again after writePause.
type queuedFrame struct {
	data []byte
	// encode, if not nil, returns data right before each attempt to write the first byte: the deadline stated in the
	// frame would be outdated if it were encoded before a dial or a wait for room.
	encode        func() []byte
	size          int // upper bound on the size of encode's result
	queuedAt      time.Time
	checkAndWrite func(write func() bool) (withdrawn bool)
	writeEnded    func(whole bool)
}

// writeTimeout bounds one write: a peer that accepts nothing for this long is gone or malicious.
const writeTimeout = 2 * time.Second

// frameRestTimeout bounds the write of the rest of a frame that states a deadline, after its first bytes are written.
// The server reads the deadline only when the frame is complete, so a slow write would make it outdated. The bound is
// two thirds of the 0.15 s by which a stated deadline may exceed the time that the client has left.
const frameRestTimeout = 100 * time.Millisecond

// frameOverhead is what a queued frame takes besides its data, in bytes: a queue of very small ones is bounded, too.
const frameOverhead = 256

// post queues a frame, and returns false if the connection takes no more frames. If the queue would exceed
// maxQueuedBytes, or may not be held for its client, because the peer sends requests but does not read the answers, the
// connection is closed.
func (q *writeQueue) post(frame queuedFrame) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.closing {
		return false
	}
	frame.size, frame.queuedAt = max(frame.size, len(frame.data))+frameOverhead, time.Now()
	if q.queuedBytes+frame.size > q.maxQueuedBytes || q.bytes != nil && !q.bytes.addResponse(int64(q.queuedBytes), int64(frame.size)) {
		if q.refused != nil {
			q.refused()
		}
		q.closeLocked()
		return false
	}
	q.queue = append(q.queue, frame)
	q.queuedBytes += frame.size
	q.start()
	return true
}

// start starts the goroutine unless it is running. The caller holds mu.
func (q *writeQueue) start() {
	if q.conn != nil && !q.writing && !q.closed {
		q.writing = true
		go q.write()
	}
}

// connected sets the connection once it is established, and starts writing queued frames.
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

// closeWhenWritten closes the connection once all queued frames are written.
func (q *writeQueue) closeWhenWritten() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closing = true
	if !q.writing && len(q.queue) == 0 {
		q.finish()
	}
}

// finish ends a connection on which everything is written. Closing a connection with unread input sends a reset,
// which may overtake the last answer, so the read direction stays open if another goroutine drains it. The caller
// holds mu.
func (q *writeQueue) finish() {
	halfCloser, ok := q.conn.(interface{ CloseWrite() error })
	if !ok || q.written == nil || q.closed {
		q.closeLocked()
		return
	}
	q.closed = true
	halfCloser.CloseWrite()
	close(q.written)
}

// close closes the connection immediately and drops queued frames.
func (q *writeQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closeLocked()
}

// closeLocked is close for callers that hold mu.
func (q *writeQueue) closeLocked() {
	if !q.closed && q.written != nil {
		close(q.written)
	}
	q.closed = true
	q.uncount(q.queuedBytes)
	q.queue, q.queuedBytes = nil, 0
	if q.conn != nil {
		q.conn.Close()
	}
}

// uncount stops counting bytes that are not queued any more. The caller holds mu.
func (q *writeQueue) uncount(bytes int) {
	if q.bytes != nil {
		q.bytes.remove(int64(bytes))
	}
}

// empty reports whether nothing is queued or being written.
func (q *writeQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed || !q.writing && len(q.queue) == 0
}

// write writes the queued frames one by one until the queue is empty.
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
		q.uncount(frame.size)
		q.mu.Unlock()
		if q.waited != nil {
			q.waited.record(time.Since(frame.queuedAt).Microseconds())
		}
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

// writeFirst writes the first bytes of a frame and returns their number; 0 without an error means that the frame was
// withdrawn. If the connection has no room, the check before the first byte is repeated, because its result may no
// longer hold when there is room.
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
		time.Sleep(writePause) // outside raw.Write, because Close would wait for it
	}
	return 0, os.ErrDeadlineExceeded
}

// writePause is how soon a first byte is retried that failed because of a local shortage, or that waits for the
// client's reader. The check before the first byte is repeated too.
const writePause = time.Millisecond
