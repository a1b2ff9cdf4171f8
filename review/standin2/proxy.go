package main

import (
	"bytes"
	"net"
	"sync"
)

// front stands between clients and one router, as a front layer or a NAT does, and passes bytes on unchanged. cut drops its connections on
// the clients' side alone: what the clients see is a reset, the router's side stays open and silent, as when a machine between them vanishes.
type front struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs []*pair
}

type pair struct {
	client, router *net.TCPConn
	cut            bool
	passed         bytes.Buffer // what the client has sent
}

func startFront(target string) *front {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	f := &front{listener: l, target: target}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(conn.(*net.TCPConn))
		}
	}()
	return f
}

func (f *front) address() string { return f.listener.Addr().String() }

func (f *front) serve(client *net.TCPConn) {
	conn, err := net.Dial("tcp", f.target)
	if err != nil {
		client.Close()
		return
	}
	p := &pair{client: client, router: conn.(*net.TCPConn)}
	f.mu.Lock()
	f.pairs = append(f.pairs, p)
	f.mu.Unlock()
	go func() {
		b := make([]byte, 16<<10)
		for {
			n, err := p.router.Read(b)
			f.mu.Lock()
			cut := p.cut
			f.mu.Unlock()
			if n > 0 && !cut {
				p.client.Write(b[:n])
			}
			if err != nil {
				p.client.Close()
				return
			}
		}
	}()
	b := make([]byte, 16<<10)
	for {
		n, err := p.client.Read(b)
		f.mu.Lock()
		p.passed.Write(b[:n])
		cut := p.cut
		f.mu.Unlock()
		if cut {
			return
		}
		if n > 0 {
			p.router.Write(b[:n])
		}
		if err != nil {
			p.router.Close()
			return
		}
	}
}

// cutCarrying cuts the connections on which a client has sent the given text, and returns how many there were.
func (f *front) cutCarrying(text string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pairs {
		if !p.cut && bytes.Contains(p.passed.Bytes(), []byte(text)) {
			p.cut = true
			p.client.SetLinger(0)
			p.client.Close()
			n++
		}
	}
	return n
}
