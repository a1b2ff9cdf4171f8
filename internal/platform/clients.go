package platform

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hollymast/control"
	"hollymast/internal/msgrpc"
)

// clientConn is one connection of a client. Its goroutine reads, and alone decides that the connection takes nothing more: a
// job was either read before, or never. The turn answers through the outbox.
type clientConn struct {
	p             *Router
	conn          net.Conn
	in            *deadlineReader
	tracked       *trackedConn
	writes        writeQueue
	mu            sync.Mutex
	open          map[uint32]*request // by number
	lastNumber    uint32              // number
	healthChecks  int                 // answers to isWell
	awaiting      bool                // the reader waits between messages
	closing       bool                // it ends as soon as nothing is open
	aborting      bool                // and no message is waited for
	readUntil     time.Time           // nothing is read later; zero: no bound
	faults        int
	rejected      bool                       // it is read to be turned away, and takes no room
	refusal       func(number uint32) []byte // the reader's: what each further job is told; nil: they are taken
	unanswered    bool                       // the reader's: the job that it handles has no answer yet, and is not open
	sentMessage   atomic.Bool                // a whole message was read
	idleSince     atomic.Int64               // since when nothing is open, the router's time
	drainTime     time.Duration              // how long the other direction is read after all is written
	closed        chan struct{}              // closed once the descriptor is free
	draining      atomic.Bool                // all is written; it is only read on
	closedNow     atomic.Bool
	closeNowAsked chan struct{} // closed where it is not read on
}

const (
	// maxOpenPerClient is how many jobs a connection may have open, as the protocol tells.
	maxOpenPerClient = 32
	// firstMessageTimeout and restWithin bound what a client may take for its first message, from when it connected, and for one
	// that it has begun. Bad ones are owed an end within 3 s; a usual one sends a message in one piece.
	firstMessageTimeout, messageTimeout = 2 * time.Second, 2 * time.Second
	// finalReadTime is for how long a connection is read on whose end waits no longer, not even for what is open: some last looks.
	finalReadTime = 5 * lastReadTime
	// maxInTransit is all that a usual client may have on the way, half of it with the longest bodies.
	maxInTransit = 256 << 10
	// rejectReadTime is for how long a connection is read for which there is no room: several times what a request takes behind its
	// connection. awayMost is how many are at once: of the descriptors that are spare, less than half.
	rejectReadTime, maxRejecting = 20 * time.Millisecond, 16
	// clientIdleTimeout closes connections with nothing open: usual clients do so after 4 s, some never.
	clientIdleTimeout = 6 * time.Second
	// maxUnreadByClient is how much may wait for a client to read: the answers to all that it may have open.
	maxUnreadByClient = maxOpenPerClient * (msgrpc.MaxBody + 1024)
	// lastReadTime is for how long a connection is read once its time is up: what is here already is read at once, so that the
	// shortest time that a timer keeps is enough.
	lastReadTime = 2 * time.Millisecond
	// A connection that ends idle is read on for as long as a request may cross the close. One that ends after a message
	// that can't be read is given the time to read why: the rest of 3 s after firstWithin, halved.
	drainAfterIdle, drainAfterBadInput = 50 * time.Millisecond, 500 * time.Millisecond
	// roomMargin is by how many connections room is made before the bound: a thousand a second come while one ends, which takes a
	// last look, and the reader's turn on a shared core. A quarter of what is kept back for accepts and dials would do.
	roomMargin = 32
	// closeBatch is how many more are ended than is needed: choosing them takes a look at all. Of some hundred, a few.
	closeBatch = 8
	// descriptorWait is how long an accept or a dial waits for a descriptor: several such times.
	descriptorWait = 50 * time.Millisecond
	// acceptAgain is when an accept that failed is tried again; doubled up to closing while it fails.
	acceptAgain = time.Millisecond
)

// deadlineReader reads from a connection with a deadline. Guards against a deadline that passed while this process stood still, or got
// no processor: what is here by then is read before the deadline counts, all of it.
type deadlineReader struct {
	conn        net.Conn
	lookedAgain bool // nothing was here
	last        bool // only rest is read any more
	rest        []byte
}

func (l *deadlineReader) setDeadline(at time.Time) {
	l.lookedAgain = false
	l.conn.SetReadDeadline(at)
}

// takeRest has no more read than what is here now, and of that no more than a usual client may have on the way.
func (l *deadlineReader) takeRest() {
	b := make([]byte, 2<<10)
	for len(l.rest) < maxInTransit {
		n, err := l.readPending(b)
		if l.rest = append(l.rest, b[:n]...); n == 0 || err != nil {
			break
		}
	}
	l.last = true
}

func (l *deadlineReader) Read(b []byte) (int, error) {
	if l.last {
		n := copy(b, l.rest)
		if l.rest = l.rest[n:]; n == 0 {
			return 0, os.ErrDeadlineExceeded
		}
		return n, nil
	}
	n, err := l.conn.Read(b)
	if n == 0 && !l.lookedAgain && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = l.readPending(b)
		l.lookedAgain = n == 0
	}
	return n, err
}

// readPending reads what is here, without waiting where the connection lets it.
func (l *deadlineReader) readPending(b []byte) (n int, err error) {
	readNow := l.nonBlockingRead()
	if readNow == nil {
		l.conn.SetReadDeadline(time.Now().Add(lastReadTime))
		return l.conn.Read(b)
	}
	const most = 8 // others may have the deadline pass again before the look
	for tries := 0; tries < most; tries++ {
		l.conn.SetReadDeadline(time.Now().Add(lastReadTime))
		switch n, err = readNow(b); {
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return 0, os.ErrDeadlineExceeded
		}
		return n, err
	}
	return 0, os.ErrDeadlineExceeded
}

// nonBlockingRead gives what reads without waiting, EAGAIN where nothing is here; nil where the connection can't.
func (l *deadlineReader) nonBlockingRead() func(b []byte) (int, error) {
	switch c := l.conn.(type) {
	case *trackedConn:
		if c.direct && c.raw != nil {
			return func(b []byte) (int, error) { return c.read(b, noWait) }
		}
	case syscall.Conn:
		if raw, err := c.SyscallConn(); err == nil {
			return func(b []byte) (int, error) {
				return readRaw(raw, noWait, func(fd int) (int, error) { return syscall.Read(fd, b) })
			}
		}
	}
	return nil
}

// listener is what is used of a listening socket.
type listener interface {
	Accept() (net.Conn, error)
	SetDeadline(at time.Time) error
	Close() error
}

// accept takes connections until the listener closes, or its deadline passes with none waiting: then it closes it. No other error
// ends it: the machine's resources may be short for a while, and a connection may have broken before it was taken.
func (p *Router) accept(l listener) {
	defer l.Close()
	pause, looked, last := acceptAgain, false, time.Time{}
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			now := time.Now()
			if last.IsZero() {
				last = now.Add(descriptorWait)
			}
			if looked || now.After(last) {
				return
			}
			// What waits may not have been looked at since this was elsewhere.
			looked = true
			l.SetDeadline(now.Add(lastReadTime))
			continue
		case err != nil:
			p.countAnomaly("accept failed")
			looked = false
			if errors.Is(err, syscall.EMFILE) && p.makeRoom(1) { // descriptors of our own; what else is short idle clients can't give
				continue
			}
			time.Sleep(pause) // guards against a loop at full speed
			pause = min(2*pause, descriptorWait)
			continue
		}
		pause, looked = acceptAgain, false
		if !p.hasRoom() {
			p.countAnomaly("client refused: too many connections")
			p.rejectConn(conn)
			continue
		}
		p.serveClient(conn)
	}
}

// rejectConn has a connection read for which there is no room: what it asks is pushed back, and it ends. Guards against requests that
// are lost on a connection that this machine accepted. So many are read at once; the others wait, unread, for those to end.
func (p *Router) rejectConn(conn net.Conn) {
	p.rejecting <- struct{}{}
	c := p.newClient(conn, true)
	c.refusal = func(number uint32) []byte {
		c.closeWhenIdle(drainAfterIdle)
		return msgrpc.Rejection(number, p.config.Deployment.MaxRetryAfter)
	}
	c.closeWhenIdle(0)
	c.closeBy(rejectReadTime)
	go func() {
		c.readLoop()
		<-p.rejecting
	}()
}

// serveClient has a connection read.
func (p *Router) serveClient(conn net.Conn) *clientConn {
	c := p.newClient(conn, false)
	go c.readLoop()
	return c
}

func (p *Router) newClient(conn net.Conn, away bool) *clientConn {
	seen := newTrackedConn(conn)
	c := &clientConn{p: p, rejected: away, conn: conn, in: &deadlineReader{conn: seen}, tracked: seen, open: map[uint32]*request{}, drainTime: drainAfterIdle,
		closed: make(chan struct{}), closeNowAsked: make(chan struct{})}
	c.writes.maxQueuedBytes, c.writes.conn, c.writes.written = maxUnreadByClient, conn, make(chan struct{})
	c.idleSince.Store(int64(p.now()))
	p.mu.Lock()
	p.clients[c] = struct{}{}
	p.rejectedConns += countOf(away)
	p.mu.Unlock()
	return c
}

// hasRoom tells whether there is room for one more connection, and makes some before it is short: ending one takes a last look
// at it, for which accepts should not have to wait.
func (p *Router) hasRoom() bool {
	before := min(roomMargin, p.maxClients/4) // three eighths of all descriptors stay: usual clients hold a third
	p.mu.Lock()
	over := len(p.clients) - p.rejectedConns + 1 - (p.maxClients - before)
	p.mu.Unlock()
	if over <= 0 {
		return true
	}
	if over <= before {
		p.closeIdleClients(over + closeBatch)
		return true
	}
	return p.makeRoom(over + closeBatch)
}

// makeRoom ends connections, and waits until the first of them has given its descriptor back.
func (p *Router) makeRoom(n int) bool {
	first := p.closeIdleClients(n)
	if first == nil {
		return false
	}
	select {
	case <-first.closed:
		return true
	case <-time.After(descriptorWait):
		return false
	}
}

// closeIdleClients has n connections end, those counted that do already: first the ones that are only read on, which close at once; then
// those that have had nothing open for longest, before them those that have said nothing. It gives the first.
func (p *Router) closeIdleClients(n int) (first *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var idle []*clientConn
	for c := range p.clients {
		nothing, ends := c.idle()
		switch {
		case !nothing || c.rejected:
			continue
		case ends:
			c.closeNow()
			first = c
			n--
		default:
			idle = append(idle, c)
		}
	}
	if n <= 0 {
		return first
	}
	slices.SortFunc(idle, func(a, b *clientConn) int {
		if a.sentMessage.Load() != b.sentMessage.Load() {
			if b.sentMessage.Load() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.idleSince.Load(), b.idleSince.Load())
	})
	for _, c := range idle[:min(n, len(idle))] {
		c.abort()
		if p.anomalies["idle client closed to make room"]++; first == nil {
			first = c
		}
	}
	return first
}

// closeNow closes a connection at once that is only read on.
func (c *clientConn) closeNow() {
	if c.draining.Load() && c.closedNow.CompareAndSwap(false, true) {
		close(c.closeNowAsked)
		c.writes.close()
	}
}

// idle tells whether nothing is open, and whether it was told to end.
func (c *clientConn) idle() (idle, ending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nothingOpen(), c.closing
}

func (c *clientConn) nothingOpen() bool { return len(c.open) == 0 && c.healthChecks == 0 }

// closeWhenIdle has the reader end the connection once nothing is open, after a last look for a message. It is read on for a while.
func (c *clientConn) closeWhenIdle(linger time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing = true; !c.aborting {
		c.drainTime = linger
	}
	c.wakeReader()
}

// abort has the reader end the connection though a message has begun: guards against those that never end, by the hundred.
func (c *clientConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.aborting, c.drainTime = true, true, 0
	if c.nothingOpen() {
		c.conn.SetReadDeadline(time.Now())
	}
}

// closeBy has the reader end the connection once nothing is open, or then whatever is open, after a last look for what is here.
// Guards against clients that go on sending, so that there is always something open.
func (c *clientConn) closeBy(most time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.readUntil = true, time.Now().Add(most)
	if c.awaiting {
		c.conn.SetReadDeadline(time.Now())
	} else {
		c.conn.SetReadDeadline(c.readUntil)
	}
}

// readTimeOver tells whether nothing more is read, though more may come: guards against clients that send faster than they are read.
func (c *clientConn) readTimeOver() bool {
	c.mu.Lock()
	late := c.pastReadTime()
	c.mu.Unlock()
	if late && !c.in.last {
		c.in.takeRest()
	}
	return late && len(c.in.rest) == 0
}

// pastReadTime tells whether only what is here is read.
func (c *clientConn) pastReadTime() bool {
	return !c.readUntil.IsZero() && !time.Now().Before(c.readUntil)
}

// wakeReader wakes a reader that waits for a message on a connection that may end.
func (c *clientConn) wakeReader() {
	if c.closing && c.awaiting && c.nothingOpen() {
		c.conn.SetReadDeadline(time.Now())
	}
}

// awaitMessage waits for the first byte of the next message; no ends the connection.
func (c *clientConn) awaitMessage(in *msgrpc.Reader, first time.Time) bool {
	for {
		c.mu.Lock()
		c.awaiting = true
		at := time.Now().Add(clientIdleTimeout)
		if !c.sentMessage.Load() {
			at = first
		}
		if !c.readUntil.IsZero() {
			at = c.readUntil
		}
		if c.closing && c.nothingOpen() && !c.rejected {
			at = time.Now()
		}
		c.in.setDeadline(at)
		c.mu.Unlock()
		err := in.Await()
		c.mu.Lock()
		c.awaiting = false
		nothing := c.nothingOpen() || c.pastReadTime()
		c.mu.Unlock()
		if err == nil {
			return true
		}
		if late := errors.Is(err, os.ErrDeadlineExceeded); nothing || !late {
			if late && !c.sentMessage.Load() {
				c.p.countAnomaly("client closed: no whole message in time")
			}
			return false
		}
	}
}

// setMessageDeadline sets how long a message that has begun may take.
func (c *clientConn) setMessageDeadline(first time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.aborting:
		c.in.setDeadline(time.Now())
	case !c.readUntil.IsZero():
		c.in.setDeadline(c.readUntil)
	case !c.sentMessage.Load():
		c.in.setDeadline(first)
	default:
		c.in.setDeadline(time.Now().Add(messageTimeout))
	}
}

// readLoop reads until the connection ends. It owns the connection's end: all that is open then is over.
func (c *clientConn) readLoop() {
	defer c.p.recoverPanic("reading a client")
	defer c.finish()
	in := msgrpc.NewReader(c.in)
	first := time.Now().Add(firstMessageTimeout)
	for {
		if over := c.readTimeOver(); !in.Buffered() && (over || !c.awaitMessage(in, first)) {
			return
		}
		c.setMessageDeadline(first)
		m, err := in.Read()
		var fault *msgrpc.Fault
		switch {
		case errors.As(err, &fault):
			c.p.countBadMessage(fault)
			if fault.Answerable {
				c.post(msgrpc.Invalid(fault.Number, fault.Text))
			}
			if fault.Unreadable {
				c.closeWhenIdle(drainAfterBadInput)
				return
			}
			c.sentMessage.Store(true)
			c.penalize()
			continue
		case err != nil:
			if errors.Is(err, os.ErrDeadlineExceeded) && !c.readTimeOver() {
				c.p.countAnomaly("client closed: no whole message in time")
				c.closeWhenIdle(drainAfterBadInput)
			}
			return
		}
		c.sentMessage.Store(true)
		c.handle(m)
	}
}

// handle does what a message asks. Should a fault of our own end that, all that its connection asks has an error, and it ends.
func (c *clientConn) handle(m *msgrpc.Message) {
	whole := false
	defer func() {
		if !whole {
			c.refuseFurther(msgrpc.Failure)
			if c.unanswered {
				c.reply(msgrpc.Failure(m.Number))
			}
		}
	}()
	defer c.p.recoverPanic("reading a client")
	switch m.Kind {
	case msgrpc.HealthCheck:
		c.handleHealthCheck(m.Number)
	case msgrpc.Cancel:
		c.handleForget(m.Number)
	case msgrpc.Call:
		c.unanswered = true
		c.handleCall(m)
	}
	whole = true
}

// refuseFurther has the connection take no job any more: all that is open is over, and what was sent behind it, whole, is told so too.
func (c *clientConn) refuseFurther(refusing func(number uint32) []byte) {
	c.refusal = refusing
	c.failOpen()
	c.closeWhenIdle(drainAfterBadInput)
	c.closeBy(drainAfterBadInput)
}

// reply answers the job that the reader handles.
func (c *clientConn) reply(data []byte) {
	c.unanswered = false
	c.post(data)
}

// handleHealthCheck is answered by the turn: a router whose turns stand still is not well.
func (c *clientConn) handleHealthCheck(number uint32) {
	c.mu.Lock()
	c.healthChecks++
	c.mu.Unlock()
	c.p.queue.Post(func(control.Micros) {
		c.post(msgrpc.Health(number, c.p.ready.Load()))
		c.mu.Lock()
		defer c.mu.Unlock()
		c.healthChecks--
		c.wakeReader()
	})
}

func (c *clientConn) post(data []byte) { c.writes.post(queuedFrame{data: data}) }

const (
	tolerableFaults = 64 // no usual client makes as many on one connection
	excessiveFaults = 1000
)

// penalize slows down a client whose messages are wrong. Guards against floods of them, whose answers would cost the others
// their part of the core: some hundreds at once are answered within the time that such a client is owed. While its reader
// sleeps a cancelled job would go unnoticed, so that none of such a client is open from then on.
func (c *clientConn) penalize() {
	switch c.faults++; {
	case c.faults == tolerableFaults:
		c.failOpen()
	case c.faults > excessiveFaults:
		time.Sleep(20 * time.Millisecond)
	case c.faults > tolerableFaults:
		time.Sleep(2 * time.Millisecond)
	}
}

// handleCall takes a job.
func (c *clientConn) handleCall(m *msgrpc.Message) {
	if c.refusal != nil {
		c.reply(c.refusal(m.Number))
		c.penalize()
		return
	}
	j := &request{id: m.Request.ID, number: m.Number, client: c, ask: m.Request, readAt: c.p.now(), cameAt: c.came()}
	if why := c.p.validate(&m.Request, j); why != "" {
		c.p.countBadMessage(&msgrpc.Fault{Number: m.Number, Text: why})
		c.reply(msgrpc.Invalid(m.Number, why))
		c.penalize()
		return
	}
	c.mu.Lock()
	rising := m.Number > c.lastNumber
	c.lastNumber = max(c.lastNumber, m.Number)
	full := len(c.open) >= maxOpenPerClient || c.faults >= tolerableFaults
	if rising && !full {
		c.open[m.Number] = j
		c.unanswered = false
	}
	c.mu.Unlock()
	if !rising {
		// Whose answer would be whose? Nobody can tell, so that no job of this connection gets one that counts.
		c.p.countBadMessage(&msgrpc.Fault{Number: m.Number, Text: "number does not rise"})
		c.reply(msgrpc.Invalid(m.Number, "number does not rise"))
		c.refuseFurther(func(number uint32) []byte { return msgrpc.Invalid(number, "sent behind a number that did not rise") })
		return
	}
	if full {
		c.p.countAnomaly("pushed back: too many open on a connection")
		c.reply(msgrpc.Rejection(m.Number, c.p.config.Deployment.MaxRetryAfter))
		c.penalize()
		return
	}
	c.p.queue.Post(func(now control.Micros) { c.p.handleRequest(now, j) })
}

// handleForget ends a job whose client stopped waiting. From here on nothing of it is written, whenever the turn hears of it.
func (c *clientConn) handleForget(number uint32) {
	c.mu.Lock()
	j := c.open[number]
	if j != nil {
		j.abandoned.Store(true)
		delete(c.open, number)
	}
	c.mu.Unlock()
	if j != nil {
		c.p.queue.Post(func(now control.Micros) { c.p.handleCancel(now, j) })
	}
}

// failOpen ends all that is open here with an error.
func (c *clientConn) failOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, j := range c.open {
		j.abandoned.Store(true)
		c.post(msgrpc.Failure(number))
		c.p.queue.Post(func(now control.Micros) { c.p.handleCancel(now, j) })
	}
	clear(c.open)
}

// finish ends the connection, after what waits to be written. It counts as one until its descriptor is free.
func (c *clientConn) finish() {
	c.failOpen()
	c.mu.Lock()
	c.closing = true
	linger := c.drainTime
	c.mu.Unlock()
	c.writes.closeWhenWritten()
	select {
	case <-c.writes.written:
		c.draining.Store(true)
		c.drainAfterClose(linger)
	case <-time.After(writeTimeout):
	}
	c.writes.close()
	c.p.mu.Lock()
	delete(c.p.clients, c)
	c.p.rejectedConns -= countOf(c.rejected)
	c.p.mu.Unlock()
	close(c.closed)
}

// drainAfterClose reads what a client still sends, and drops it, until it has closed too. Guards against the reset that a close
// makes of unread input, which may overtake the last answer; beyond a bound nothing is read, so that a flood costs nothing.
func (c *clientConn) drainAfterClose(linger time.Duration) {
	until := time.Now().Add(linger)
	c.conn.SetReadDeadline(until)
	if _, err := io.CopyN(io.Discard, c.conn, maxInTransit); err == nil {
		select {
		case <-c.closeNowAsked:
		case <-time.After(time.Until(until)):
		}
	}
}

// respond gives a job its answer.
func (c *clientConn) respond(j *request, data []byte) {
	c.mu.Lock()
	open := c.open[j.number] == j
	if open {
		delete(c.open, j.number)
	}
	if len(c.open) == 0 {
		c.idleSince.Store(int64(c.p.now()))
	}
	if open {
		c.post(data)
		c.wakeReader()
	}
	c.mu.Unlock()
}

// validate holds what a client asks against the settings; the text tells what is wrong.
func (p *Router) validate(a *msgrpc.Request, j *request) string {
	var ok bool
	if j.class, ok = p.config.classes[a.Class]; !ok {
		return "unknown class"
	}
	if j.tenant, ok = p.config.tenants[a.Tenant]; !ok && len(p.config.tenants) > 0 {
		return "unknown project"
	}
	w := p.config.Deployment.Classes[j.class]
	if a.Timeout > 2*w.MaxDeadline { // a client waits no longer than that in all; twice, for those that round
		return "allow: longer than the class allows"
	}
	if a.IdempotencyKey == "" && w.Effect == control.IdempotentByKey {
		return "replay: missing"
	}
	if p.config.memoryMB > 0 && a.MemoryMB > p.config.memoryMB {
		return "spec: more memory than a server has"
	}
	return ""
}
