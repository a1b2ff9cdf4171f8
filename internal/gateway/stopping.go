package gateway

import (
	"context"
	"net"
	"os"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"hollymast/control"
	"hollymast/internal/rest"
)

// What a stopping router may rely on: SIGKILL comes no sooner after SIGTERM than the deployment's longest deadline, counted as
// deadlineMost at most, and killAfter. Requests keep coming on open connections; all its times follow from these.
const (
	maxCountedDeadline = 3 * time.Second
	killAfter          = 700 * time.Millisecond
	// lastAnswers is kept free before the kill for answers that are due at the last moment, half of it for their way out: some
	// hundred writes on a small part of a core.
	answerBeforeKill = 100 * time.Millisecond
	// lastAccepts is for how long a stopping router takes connections, to push back what they ask: several times what it takes
	// to accept all that wait. Later ones are refused, which proves that nothing ran.
	acceptConnectionsFor = 20 * time.Millisecond
)

// stopTimes are a stopping router's, from when it was told to stop.
type shutdownTimes struct {
	readUntil time.Duration // until when a request is awaited on an open connection, to push it back
	answerBy  time.Duration // when each job has its answer, however long it would take
	closeBy   time.Duration // when clients that don't read or go are closed
}

// stopTimes gives the times that follow from the longest time limit.
func (c *Config) shutdownTimes() shutdownTimes {
	longest := control.Micros(0)
	for _, class := range c.Deployment.Classes {
		longest = max(longest, class.MaxDeadline)
	}
	killed := min(duration(longest), maxCountedDeadline) + killAfter
	return shutdownTimes{readUntil: killAfter - answerBeforeKill, answerBy: killed - answerBeforeKill, closeBy: killed - answerBeforeKill/2}
}

func (g *Gateway) isStopping() bool { return g.stopRequestedAt.Load() != 0 }

// sinceStop gives when so much of the stop will be over.
func (g *Gateway) afterStop(d time.Duration) time.Time {
	return g.startedAt.Add(duration(control.Micros(g.stopRequestedAt.Load())-g.epoch) + d)
}

func (g *Gateway) beginStop() {
	g.stopping = true
	g.ready.Store(false)
	g.stopRequestedAt.Store(int64(g.now()))
	times := g.config.shutdownTimes()
	g.log.Info().Int("jobs", len(g.requests)).Dur("at_most_ms", times.closeBy).Msg("stopping: no new jobs are taken")
	for _, l := range g.listeners {
		l.(*net.TCPListener).SetDeadline(time.Now().Add(acceptConnectionsFor))
	}
	g.clientConns.Range(func(c, _ any) bool {
		c.(*rest.Conn).SetIdleDeadline(g.afterStop(times.readUntil))
		return true
	})
}

// answerAll gives each job in hand the answer that promises nothing: the process may be killed before its own time is up.
func (g *Gateway) answerOpen(now control.Micros) {
	var ids []control.RequestID
	for id := range g.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if req := g.requests[id]; !req.answer.Given {
			g.core.Cancel(now, id)
			g.finish(req, "killed", failure("this router is stopping"))
		}
	}
}

// listen opens a listener of plain TCP: closeAccepting needs a filter, which Linux does not have for Multipath TCP.
func listenTCP(address string) (net.Listener, error) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false)
	return plain.Listen(context.Background(), "tcp", address)
}

// closeAccepting closes a listener and gives the connections that the kernel has accepted by then. Guards against the reset that a
// close makes of each of these: whoever connected may have written a request already. So no connection begins any more before
// the last look; one that would is told by the closed listener, on its next try, that nobody listens.
func drainListener(l net.Listener) (conns []net.Conn) {
	defer l.Close()
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	const most = 1 << 13 // a full queue, with those among them that have gone
	raw.Control(func(fd uintptr) {
		unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]})
		for range most {
			n, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err == unix.EINTR || err == unix.ECONNABORTED {
				continue
			}
			if err != nil {
				return
			}
			file := os.NewFile(uintptr(n), "client")
			if conn, err := net.FileConn(file); err == nil {
				conns = append(conns, conn)
			}
			file.Close()
		}
	})
	return conns
}

// noSYN drops packets that begin a connection: it loads the byte of flags in the TCP header and tests it for SYN.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: 0x02, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 30}, // the whole packet
}
