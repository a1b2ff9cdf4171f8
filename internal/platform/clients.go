package platform

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"hollymast/control"
	"hollymast/internal/msgrpc"
)

// client is one connection of a client. Its goroutine reads; the turn answers through the outbox.
type client struct {
	p      *Platform
	conn   net.Conn
	box    outbox
	mu     sync.Mutex
	open   map[uint32]*job // by number
	last   uint32          // number
	faults int
	spoke  atomic.Bool  // a whole message was read
	quiet  atomic.Int64 // since when nothing is open, the router's time
}

const (
	// perClient is how many jobs a connection may have open, as the protocol tells.
	perClient = 32
	// firstWithin and restWithin bound what a client may take for its first message, from when it connected, and for one
	// that it has begun. Bad ones are owed an end within 3 s; a usual one sends a message in one piece.
	firstWithin, restWithin = 2 * time.Second, 2 * time.Second
	// idleMost closes connections with nothing open: usual clients do so after 4 s, some never.
	idleMost = 6 * time.Second
	// unread is how much may wait for a client to read: the answers to all that it may have open.
	unread = perClient * (msgrpc.MaxBody + 1024)
)

func (p *Platform) accept(l *net.TCPListener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Out of descriptors, or the client left already. Guards against a loop at full speed.
			p.count("accept failed")
			if !p.makeRoom() {
				time.Sleep(time.Millisecond)
			}
			continue
		}
		c := &client{p: p, conn: conn, open: map[uint32]*job{}}
		c.box.most, c.box.conn = unread, conn
		c.quiet.Store(int64(p.now()))
		p.mu.Lock()
		full := len(p.clients) >= p.mostClients
		p.mu.Unlock()
		if full && !p.makeRoom() {
			conn.Close()
			p.count("client refused: too many connections")
			continue
		}
		p.mu.Lock()
		p.clients[c] = struct{}{}
		p.mu.Unlock()
		go c.read()
	}
}

// makeRoom closes the connection that has had nothing open for longest; one that has said nothing goes first.
func (p *Platform) makeRoom() bool {
	p.mu.Lock()
	var worst *client
	for c := range p.clients {
		if !c.idle() {
			continue
		}
		if worst == nil || !c.spoke.Load() && worst.spoke.Load() ||
			c.spoke.Load() == worst.spoke.Load() && c.quiet.Load() < worst.quiet.Load() {
			worst = c
		}
	}
	if worst != nil {
		delete(p.clients, worst)
	}
	p.mu.Unlock()
	if worst == nil {
		return false
	}
	p.count("idle client closed to make room")
	worst.box.end()
	return true
}

func (c *client) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) == 0
}

// read reads until the connection ends. It owns the connection's end: all that is open then is over.
func (c *client) read() {
	defer c.leave()
	in := msgrpc.NewReader(c.conn)
	c.conn.SetReadDeadline(time.Now().Add(firstWithin))
	for {
		if c.spoke.Load() && !in.Buffered() {
			for {
				c.conn.SetReadDeadline(time.Now().Add(idleMost))
				err := in.Await()
				if err == nil {
					break
				}
				if !errors.Is(err, os.ErrDeadlineExceeded) || c.idle() {
					return
				}
			}
			c.conn.SetReadDeadline(time.Now().Add(restWithin))
		} else if c.spoke.Load() {
			c.conn.SetReadDeadline(time.Now().Add(restWithin))
		}
		m, err := in.Read()
		var fault *msgrpc.Fault
		switch {
		case errors.As(err, &fault):
			c.p.badInput(fault)
			if fault.Told {
				c.post(msgrpc.Invalid(fault.Number, fault.Text))
			}
			if fault.Broken {
				c.refuseAll()
				return
			}
			c.spoke.Store(true)
			c.fault()
			continue
		case err != nil:
			if !c.spoke.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
				c.p.count("client closed: no whole message in time")
			}
			return
		}
		c.spoke.Store(true)
		switch m.Kind {
		case msgrpc.IsWell:
			c.post(msgrpc.Well(m.Number, c.p.ready.Load()))
		case msgrpc.Forget:
			c.forget(m.Number)
		case msgrpc.Call:
			if !c.call(m) {
				return
			}
		}
	}
}

func (c *client) post(data []byte) { c.box.post(parcel{data: data}) }

// fault slows down a client whose messages are wrong. Guards against floods of them, whose answers would cost the others
// their part of the core: some hundreds at once are answered within the time that such a client is owed.
func (c *client) fault() {
	const free, many = 64, 1000
	switch c.faults++; {
	case c.faults > many:
		time.Sleep(20 * time.Millisecond)
	case c.faults > free:
		time.Sleep(2 * time.Millisecond)
	}
}

// call takes a job; no ends the connection.
func (c *client) call(m *msgrpc.Message) bool {
	j := &job{id: m.Ask.ID, number: m.Number, client: c, ask: m.Ask}
	if why := c.p.check(&m.Ask, j); why != "" {
		c.p.badInput(&msgrpc.Fault{Number: m.Number, Text: why})
		c.post(msgrpc.Invalid(m.Number, why))
		c.fault()
		return true
	}
	c.mu.Lock()
	rising := m.Number > c.last
	c.last = max(c.last, m.Number)
	full := len(c.open) >= perClient
	if rising && !full {
		c.open[m.Number] = j
	}
	c.mu.Unlock()
	if !rising {
		// Whose answer would be whose? Nobody can tell, so that no job of this connection gets one that counts.
		c.p.badInput(&msgrpc.Fault{Number: m.Number, Text: "number does not rise"})
		c.post(msgrpc.Invalid(m.Number, "number does not rise"))
		c.refuseAll()
		return false
	}
	if full {
		c.p.count("pushed back: too many open on a connection")
		c.post(msgrpc.PushedBack(m.Number, c.p.told.Deployment.MaxStayAway))
		c.fault()
		return true
	}
	c.p.box.Tell(func(now control.Micros) { c.p.arrived(now, j) })
	return true
}

func (c *client) forget(number uint32) {
	c.mu.Lock()
	j := c.open[number]
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
		c.post(msgrpc.Killed(number))
		c.p.box.Tell(func(now control.Micros) { c.p.left(now, j) })
	}
	clear(c.open)
}

// leave ends the connection, after what waits to be written.
func (c *client) leave() {
	c.refuseAll()
	c.box.end()
	c.p.mu.Lock()
	delete(c.p.clients, c)
	c.p.mu.Unlock()
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
	c.mu.Unlock()
	if open {
		c.post(data)
	}
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
