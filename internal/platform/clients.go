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

// client is one connection of a client. Its goroutine reads, and alone decides that the connection takes nothing more: a
// job was either read before, or never. The turn answers through the outbox.
type client struct {
	p        *Platform
	conn     net.Conn
	in       *looking
	seen     *seen
	box      outbox
	mu       sync.Mutex
	open     map[uint32]*job // by number
	last     uint32          // number
	owed     int             // answers to isWell
	awaiting bool            // the reader waits between messages
	dismiss  bool            // it ends as soon as nothing is open
	short    bool            // and no message is waited for
	readTo   time.Time       // nothing is read later; zero: no bound
	faults   int
	away     bool                       // it is read to be turned away, and takes no room
	refusing func(number uint32) []byte // the reader's: what each further job is told; nil: they are taken
	owing    bool                       // the reader's: the job that it handles has no answer yet, and is not open
	spoke    atomic.Bool                // a whole message was read
	quiet    atomic.Int64               // since when nothing is open, the router's time
	linger   time.Duration              // how long the other direction is read after all is written
	gone     chan struct{}              // closed once the descriptor is free
	leaving  atomic.Bool                // all is written; it is only read on
	hurried  atomic.Bool
	now      chan struct{} // closed where it is not read on
}

const (
	// perClient is how many jobs a connection may have open, as the protocol tells.
	perClient = 32
	// firstWithin and restWithin bound what a client may take for its first message, from when it connected, and for one
	// that it has begun. Bad ones are owed an end within 3 s; a usual one sends a message in one piece.
	firstWithin, restWithin = 2 * time.Second, 2 * time.Second
	// lastReads is for how long a connection is read on whose end waits no longer, not even for what is open: some last looks.
	lastReads = 5 * lastLook
	// mostOnTheWay is all that a usual client may have on the way, half of it with the longest bodies.
	mostOnTheWay = 256 << 10
	// awayReads is for how long a connection is read for which there is no room: several times what a request takes behind its
	// connection. awayMost is how many are at once: of the descriptors that are spare, less than half.
	awayReads, awayMost = 20 * time.Millisecond, 16
	// idleMost closes connections with nothing open: usual clients do so after 4 s, some never.
	idleMost = 6 * time.Second
	// unread is how much may wait for a client to read: the answers to all that it may have open.
	unread = perClient * (msgrpc.MaxBody + 1024)
	// lastLook is for how long a connection is read once its time is up: what is here already is read at once, so that the
	// shortest time that a timer keeps is enough.
	lastLook = 2 * time.Millisecond
	// A connection that ends idle is read on for as long as a request may cross the close. One that ends after a message
	// that can't be read is given the time to read why: the rest of 3 s after firstWithin, halved.
	lingerIdle, lingerBad = 50 * time.Millisecond, 500 * time.Millisecond
	// early is by how many connections room is made before the bound: a thousand a second come while one ends, which takes a
	// last look, and the reader's turn on a shared core. A quarter of what is kept back for accepts and dials would do.
	early = 32
	// atOnce is how many more are ended than is needed: choosing them takes a look at all. Of some hundred, a few.
	atOnce = 8
	// closing is how long an accept or a dial waits for a descriptor: several such times.
	closing = 50 * time.Millisecond
	// acceptAgain is when an accept that failed is tried again; doubled up to closing while it fails.
	acceptAgain = time.Millisecond
)

// looking reads from a connection with a deadline. Guards against a deadline that passed while this process stood still, or got
// no processor: what is here by then is read before the deadline counts, all of it.
type looking struct {
	conn   net.Conn
	looked bool // nothing was here
	last   bool // only rest is read any more
	rest   []byte
}

func (l *looking) until(at time.Time) {
	l.looked = false
	l.conn.SetReadDeadline(at)
}

// takeRest has no more read than what is here now, and of that no more than a usual client may have on the way.
func (l *looking) takeRest() {
	b := make([]byte, 2<<10)
	for len(l.rest) < mostOnTheWay {
		n, err := l.look(b)
		if l.rest = append(l.rest, b[:n]...); n == 0 || err != nil {
			break
		}
	}
	l.last = true
}

func (l *looking) Read(b []byte) (int, error) {
	if l.last {
		n := copy(b, l.rest)
		if l.rest = l.rest[n:]; n == 0 {
			return 0, os.ErrDeadlineExceeded
		}
		return n, nil
	}
	n, err := l.conn.Read(b)
	if n == 0 && !l.looked && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = l.look(b)
		l.looked = n == 0
	}
	return n, err
}

// look reads what is here, without waiting where the connection lets it.
func (l *looking) look(b []byte) (n int, err error) {
	readNow := l.readNow()
	if readNow == nil {
		l.conn.SetReadDeadline(time.Now().Add(lastLook))
		return l.conn.Read(b)
	}
	const most = 8 // others may have the deadline pass again before the look
	for tries := 0; tries < most; tries++ {
		l.conn.SetReadDeadline(time.Now().Add(lastLook))
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

// readNow gives what reads without waiting, EAGAIN where nothing is here; nil where the connection can't.
func (l *looking) readNow() func(b []byte) (int, error) {
	switch c := l.conn.(type) {
	case *seen:
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
func (p *Platform) accept(l listener) {
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
				last = now.Add(closing)
			}
			if looked || now.After(last) {
				return
			}
			// What waits may not have been looked at since this was elsewhere.
			looked = true
			l.SetDeadline(now.Add(lastLook))
			continue
		case err != nil:
			p.count("accept failed")
			looked = false
			if errors.Is(err, syscall.EMFILE) && p.makeRoom(1) { // descriptors of our own; what else is short idle clients can't give
				continue
			}
			time.Sleep(pause) // guards against a loop at full speed
			pause = min(2*pause, closing)
			continue
		}
		pause, looked = acceptAgain, false
		if !p.room() {
			p.count("client refused: too many connections")
			p.turnAway(conn)
			continue
		}
		p.welcome(conn)
	}
}

// turnAway has a connection read for which there is no room: what it asks is pushed back, and it ends. Guards against requests that
// are lost on a connection that this machine accepted. So many are read at once; the others wait, unread, for those to end.
func (p *Platform) turnAway(conn net.Conn) {
	p.away <- struct{}{}
	c := p.newClient(conn, true)
	c.refusing = func(number uint32) []byte {
		c.end(lingerIdle)
		return msgrpc.PushedBack(number, p.told.Deployment.MaxStayAway)
	}
	c.end(0)
	c.endBy(awayReads)
	go func() {
		c.read()
		<-p.away
	}()
}

// welcome has a connection read.
func (p *Platform) welcome(conn net.Conn) *client {
	c := p.newClient(conn, false)
	go c.read()
	return c
}

func (p *Platform) newClient(conn net.Conn, away bool) *client {
	seen := newSeen(conn)
	c := &client{p: p, away: away, conn: conn, in: &looking{conn: seen}, seen: seen, open: map[uint32]*job{}, linger: lingerIdle,
		gone: make(chan struct{}), now: make(chan struct{})}
	c.box.most, c.box.conn, c.box.written = unread, conn, make(chan struct{})
	c.quiet.Store(int64(p.now()))
	p.mu.Lock()
	p.clients[c] = struct{}{}
	p.turned += one(away)
	p.mu.Unlock()
	return c
}

// room tells whether there is room for one more connection, and makes some before it is short: ending one takes a last look
// at it, for which accepts should not have to wait.
func (p *Platform) room() bool {
	before := min(early, p.mostClients/4) // three eighths of all descriptors stay: usual clients hold a third
	p.mu.Lock()
	over := len(p.clients) - p.turned + 1 - (p.mostClients - before)
	p.mu.Unlock()
	if over <= 0 {
		return true
	}
	if over <= before {
		p.end(over + atOnce)
		return true
	}
	return p.makeRoom(over + atOnce)
}

// makeRoom ends connections, and waits until the first of them has given its descriptor back.
func (p *Platform) makeRoom(n int) bool {
	first := p.end(n)
	if first == nil {
		return false
	}
	select {
	case <-first.gone:
		return true
	case <-time.After(closing):
		return false
	}
}

// end has n connections end, those counted that do already: first the ones that are only read on, which close at once; then
// those that have had nothing open for longest, before them those that have said nothing. It gives the first.
func (p *Platform) end(n int) (first *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var idle []*client
	for c := range p.clients {
		nothing, ends := c.idle()
		switch {
		case !nothing || c.away:
			continue
		case ends:
			c.hurry()
			first = c
			n--
		default:
			idle = append(idle, c)
		}
	}
	if n <= 0 {
		return first
	}
	slices.SortFunc(idle, func(a, b *client) int {
		if a.spoke.Load() != b.spoke.Load() {
			if b.spoke.Load() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.quiet.Load(), b.quiet.Load())
	})
	for _, c := range idle[:min(n, len(idle))] {
		c.cut()
		if p.counts["idle client closed to make room"]++; first == nil {
			first = c
		}
	}
	return first
}

// hurry closes a connection at once that is only read on.
func (c *client) hurry() {
	if c.leaving.Load() && c.hurried.CompareAndSwap(false, true) {
		close(c.now)
		c.box.close()
	}
}

// idle tells whether nothing is open, and whether it was told to end.
func (c *client) idle() (idle, ending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nothing(), c.dismiss
}

func (c *client) nothing() bool { return len(c.open) == 0 && c.owed == 0 }

// end has the reader end the connection once nothing is open, after a last look for a message. It is read on for a while.
func (c *client) end(linger time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dismiss = true; !c.short {
		c.linger = linger
	}
	c.wake()
}

// cut has the reader end the connection though a message has begun: guards against those that never end, by the hundred.
func (c *client) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dismiss, c.short, c.linger = true, true, 0
	if c.nothing() {
		c.conn.SetReadDeadline(time.Now())
	}
}

// endBy has the reader end the connection once nothing is open, or then whatever is open, after a last look for what is here.
// Guards against clients that go on sending, so that there is always something open.
func (c *client) endBy(most time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dismiss, c.readTo = true, time.Now().Add(most)
	if c.awaiting {
		c.conn.SetReadDeadline(time.Now())
	} else {
		c.conn.SetReadDeadline(c.readTo)
	}
}

// over tells whether nothing more is read, though more may come: guards against clients that send faster than they are read.
func (c *client) over() bool {
	c.mu.Lock()
	late := c.late()
	c.mu.Unlock()
	if late && !c.in.last {
		c.in.takeRest()
	}
	return late && len(c.in.rest) == 0
}

// late tells whether only what is here is read.
func (c *client) late() bool { return !c.readTo.IsZero() && !time.Now().Before(c.readTo) }

// wake wakes a reader that waits for a message on a connection that may end.
func (c *client) wake() {
	if c.dismiss && c.awaiting && c.nothing() {
		c.conn.SetReadDeadline(time.Now())
	}
}

// await waits for the first byte of the next message; no ends the connection.
func (c *client) await(in *msgrpc.Reader, first time.Time) bool {
	for {
		c.mu.Lock()
		c.awaiting = true
		at := time.Now().Add(idleMost)
		if !c.spoke.Load() {
			at = first
		}
		if !c.readTo.IsZero() {
			at = c.readTo
		}
		if c.dismiss && c.nothing() && !c.away {
			at = time.Now()
		}
		c.in.until(at)
		c.mu.Unlock()
		err := in.Await()
		c.mu.Lock()
		c.awaiting = false
		nothing := c.nothing() || c.late()
		c.mu.Unlock()
		if err == nil {
			return true
		}
		if late := errors.Is(err, os.ErrDeadlineExceeded); nothing || !late {
			if late && !c.spoke.Load() {
				c.p.count("client closed: no whole message in time")
			}
			return false
		}
	}
}

// expect sets how long a message that has begun may take.
func (c *client) expect(first time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.short:
		c.in.until(time.Now())
	case !c.readTo.IsZero():
		c.in.until(c.readTo)
	case !c.spoke.Load():
		c.in.until(first)
	default:
		c.in.until(time.Now().Add(restWithin))
	}
}

// read reads until the connection ends. It owns the connection's end: all that is open then is over.
func (c *client) read() {
	defer c.p.caught("reading a client")
	defer c.leave()
	in := msgrpc.NewReader(c.in)
	first := time.Now().Add(firstWithin)
	for {
		if over := c.over(); !in.Buffered() && (over || !c.await(in, first)) {
			return
		}
		c.expect(first)
		m, err := in.Read()
		var fault *msgrpc.Fault
		switch {
		case errors.As(err, &fault):
			c.p.badInput(fault)
			if fault.Told {
				c.post(msgrpc.Invalid(fault.Number, fault.Text))
			}
			if fault.Broken {
				c.end(lingerBad)
				return
			}
			c.spoke.Store(true)
			c.fault()
			continue
		case err != nil:
			if errors.Is(err, os.ErrDeadlineExceeded) && !c.over() {
				c.p.count("client closed: no whole message in time")
				c.end(lingerBad)
			}
			return
		}
		c.spoke.Store(true)
		c.take(m)
	}
}

// take does what a message asks. Should a fault of our own end that, all that its connection asks has an error, and it ends.
func (c *client) take(m *msgrpc.Message) {
	whole := false
	defer func() {
		if !whole {
			c.spoil(msgrpc.Killed)
			if c.owing {
				c.reply(msgrpc.Killed(m.Number))
			}
		}
	}()
	defer c.p.caught("reading a client")
	switch m.Kind {
	case msgrpc.IsWell:
		c.isWell(m.Number)
	case msgrpc.Forget:
		c.forget(m.Number)
	case msgrpc.Call:
		c.owing = true
		c.call(m)
	}
	whole = true
}

// spoil has the connection take no job any more: all that is open is over, and what was sent behind it, whole, is told so too.
func (c *client) spoil(refusing func(number uint32) []byte) {
	c.refusing = refusing
	c.refuseAll()
	c.end(lingerBad)
	c.endBy(lingerBad)
}

// reply answers the job that the reader handles.
func (c *client) reply(data []byte) {
	c.owing = false
	c.post(data)
}

// isWell is answered by the turn: a router whose turns stand still is not well.
func (c *client) isWell(number uint32) {
	c.mu.Lock()
	c.owed++
	c.mu.Unlock()
	c.p.box.Tell(func(control.Micros) {
		c.post(msgrpc.Well(number, c.p.ready.Load()))
		c.mu.Lock()
		defer c.mu.Unlock()
		c.owed--
		c.wake()
	})
}

func (c *client) post(data []byte) { c.box.post(parcel{data: data}) }

const (
	freeFaults = 64 // no usual client makes as many on one connection
	manyFaults = 1000
)

// fault slows down a client whose messages are wrong. Guards against floods of them, whose answers would cost the others
// their part of the core: some hundreds at once are answered within the time that such a client is owed. While its reader
// sleeps a cancelled job would go unnoticed, so that none of such a client is open from then on.
func (c *client) fault() {
	switch c.faults++; {
	case c.faults == freeFaults:
		c.refuseAll()
	case c.faults > manyFaults:
		time.Sleep(20 * time.Millisecond)
	case c.faults > freeFaults:
		time.Sleep(2 * time.Millisecond)
	}
}

// call takes a job.
func (c *client) call(m *msgrpc.Message) {
	if c.refusing != nil {
		c.reply(c.refusing(m.Number))
		c.fault()
		return
	}
	j := &job{id: m.Ask.ID, number: m.Number, client: c, ask: m.Ask, read: c.p.now(), came: c.came()}
	if why := c.p.check(&m.Ask, j); why != "" {
		c.p.badInput(&msgrpc.Fault{Number: m.Number, Text: why})
		c.reply(msgrpc.Invalid(m.Number, why))
		c.fault()
		return
	}
	c.mu.Lock()
	rising := m.Number > c.last
	c.last = max(c.last, m.Number)
	full := len(c.open) >= perClient || c.faults >= freeFaults
	if rising && !full {
		c.open[m.Number] = j
		c.owing = false
	}
	c.mu.Unlock()
	if !rising {
		// Whose answer would be whose? Nobody can tell, so that no job of this connection gets one that counts.
		c.p.badInput(&msgrpc.Fault{Number: m.Number, Text: "number does not rise"})
		c.reply(msgrpc.Invalid(m.Number, "number does not rise"))
		c.spoil(func(number uint32) []byte { return msgrpc.Invalid(number, "sent behind a number that did not rise") })
		return
	}
	if full {
		c.p.count("pushed back: too many open on a connection")
		c.reply(msgrpc.PushedBack(m.Number, c.p.told.Deployment.MaxStayAway))
		c.fault()
		return
	}
	c.p.box.Tell(func(now control.Micros) { c.p.arrived(now, j) })
}

// forget ends a job whose client stopped waiting. From here on nothing of it is written, whenever the turn hears of it.
func (c *client) forget(number uint32) {
	c.mu.Lock()
	j := c.open[number]
	if j != nil {
		j.gone.Store(true)
		delete(c.open, number)
	}
	c.mu.Unlock()
	if j != nil {
		c.p.box.Tell(func(now control.Micros) { c.p.left(now, j) })
	}
}

// refuseAll ends all that is open here with an error.
func (c *client) refuseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, j := range c.open {
		j.gone.Store(true)
		c.post(msgrpc.Killed(number))
		c.p.box.Tell(func(now control.Micros) { c.p.left(now, j) })
	}
	clear(c.open)
}

// leave ends the connection, after what waits to be written. It counts as one until its descriptor is free.
func (c *client) leave() {
	c.refuseAll()
	c.mu.Lock()
	c.dismiss = true
	linger := c.linger
	c.mu.Unlock()
	c.box.end()
	select {
	case <-c.box.written:
		c.leaving.Store(true)
		c.readOn(linger)
	case <-time.After(writeTime):
	}
	c.box.close()
	c.p.mu.Lock()
	delete(c.p.clients, c)
	c.p.turned -= one(c.away)
	c.p.mu.Unlock()
	close(c.gone)
}

// readOn reads what a client still sends, and drops it, until it has closed too. Guards against the reset that a close
// makes of unread input, which may overtake the last answer; beyond a bound nothing is read, so that a flood costs nothing.
func (c *client) readOn(linger time.Duration) {
	until := time.Now().Add(linger)
	c.conn.SetReadDeadline(until)
	if _, err := io.CopyN(io.Discard, c.conn, mostOnTheWay); err == nil {
		select {
		case <-c.now:
		case <-time.After(time.Until(until)):
		}
	}
}

// answer gives a job its answer.
func (c *client) answer(j *job, data []byte) {
	c.mu.Lock()
	open := c.open[j.number] == j
	if open {
		delete(c.open, j.number)
	}
	if len(c.open) == 0 {
		c.quiet.Store(int64(c.p.now()))
	}
	if open {
		c.post(data)
		c.wake()
	}
	c.mu.Unlock()
}

// check holds what a client asks against the settings; the text tells what is wrong.
func (p *Platform) check(a *msgrpc.Ask, j *job) string {
	var ok bool
	if j.workload, ok = p.told.classes[a.Class]; !ok {
		return "unknown class"
	}
	if j.tenant, ok = p.told.tenants[a.Tenant]; !ok && len(p.told.tenants) > 0 {
		return "unknown project"
	}
	w := p.told.Deployment.Workloads[j.workload]
	if a.Patience > 2*w.TimeLimit { // a client waits no longer than that in all; twice, for those that round
		return "allow: longer than the class allows"
	}
	if a.Mark == "" && w.Effect == control.Fingerprinted {
		return "replay: missing"
	}
	if p.told.memoryMB > 0 && a.MemoryMB > p.told.memoryMB {
		return "spec: more memory than a server has"
	}
	return ""
}
