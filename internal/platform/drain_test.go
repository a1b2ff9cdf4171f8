package platform

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// begun tells whether its first byte would be written now.
func (s *sending) begun() bool {
	wrote := false
	s.begin(func() bool {
		wrote = true
		return true
	})
	return wrote
}

// Where the connection has no room for the first byte, the check comes again when it has.
func TestFullConnectionCrossesTheGrace(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ours, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer ours.Close()
	theirs, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer theirs.Close()
	raw, err := ours.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	filled := 0
	fill := func(fd uintptr) {
		for {
			n, err := syscall.Write(int(fd), make([]byte, 4096))
			if err != nil {
				return
			}
			filled += n
		}
	}
	raw.Control(fill)
	time.Sleep(10 * time.Millisecond) // what the kernel still moves on
	raw.Control(fill)
	asked, allowed := make(chan bool, 1000), make(chan bool, 1)
	allowed <- true
	o := &outbox{conn: ours, most: 1 << 20}
	o.post(parcel{data: []byte("late"), begin: func(write func() bool) bool {
		asked <- true
		select {
		case <-allowed: // the first time
			if write() {
				t.Error("there was room")
			}
			return false
		default:
			return true // the grace has passed
		}
	}, wrote: func(bool) { t.Error("it was written") }})
	<-asked
	if n, err := io.ReadFull(theirs, make([]byte, filled)); err != nil {
		t.Fatalf("read %d: %v", n, err)
	}
	<-asked
	until(t, "it is withdrawn", o.drained)
	theirs.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if n, _ := theirs.Read(make([]byte, 8)); n > 0 {
		t.Errorf("%d bytes were written after the grace", n)
	}
}
