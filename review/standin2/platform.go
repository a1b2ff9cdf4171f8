package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// target is one model server in an event of the notice board.
type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	AZ       string `json:"az"`
	Model    string `json:"model"`
	PodGroup int    `json:"pod_group"`
	State    string `json:"state"`
	Hint     int    `json:"capacity_hint"`
	BootMS   int64  `json:"boot_ms"`
}

type poolEvent struct {
	Rev     uint64   `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

type boardEvent struct {
	Rev  uint64    `json:"rev"`
	Pool poolEvent `json:"pool"`
}

// board is the notice board.
type board struct {
	listener net.Listener
	mu       sync.Mutex
	events   []boardEvent
	changed  chan struct{}
}

func startBoard(first []target) *board {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	b := &board{listener: l, changed: make(chan struct{}), events: []boardEvent{{1, poolEvent{1, true, first}}}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.watch(conn)
		}
	}()
	return b
}

func (b *board) watch(conn net.Conn) {
	defer conn.Close()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return
	}
	var last uint64
	fmt.Sscanf(line, "watch %d", &last)
	for {
		b.mu.Lock()
		var text []byte
		for _, e := range b.events {
			if e.Rev > last {
				one, _ := json.Marshal(e)
				text, last = append(append(text, one...), '\n'), e.Rev
			}
		}
		text = fmt.Appendln(text, last)
		changed := b.changed
		b.mu.Unlock()
		if _, err := conn.Write(text); err != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		}
	}
}

// frame is one frame to or from a model server.
type frame struct {
	code   byte
	id     uint64
	fields string
	body   []byte
}

func readFrame(in io.Reader) (f frame, err error) {
	var head [16]byte
	if _, err = io.ReadFull(in, head[:]); err != nil {
		return f, err
	}
	n, m := int(binary.BigEndian.Uint16(head[2:])), int(binary.BigEndian.Uint32(head[4:]))
	rest := make([]byte, n+m+4)
	if _, err = io.ReadFull(in, rest); err != nil {
		return f, err
	}
	return frame{head[1], binary.BigEndian.Uint64(head[8:]), string(rest[:n]), rest[n : n+m]}, nil
}

func (f frame) field(name string) string {
	for pair := range strings.SplitSeq(f.fields, ",") {
		if value, ok := strings.CutPrefix(pair, name+"="); ok {
			return value
		}
	}
	return ""
}

func answerFrame(code byte, id uint64, fields string, body []byte) []byte {
	b := []byte{108, code}
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	b = append(append(b, fields...), body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[16:]))
}

// modelServer is a model server of the platform. handle answers a request; it runs in a goroutine of its own.
type modelServer struct {
	listener net.Listener
	handle   func(f frame, answer func(code byte, fields string, body []byte))
}

func startModelServer(address string, handle func(f frame, answer func(code byte, fields string, body []byte))) *modelServer {
	l, err := net.Listen("tcp", address)
	check(err)
	m := &modelServer{listener: l, handle: handle}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(conn)
		}
	}()
	return m
}

func (m *modelServer) address() string { return m.listener.Addr().String() }

func (m *modelServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 32<<10)
	var writing sync.Mutex
	for {
		f, err := readFrame(in)
		if err != nil {
			return
		}
		go m.handle(f, func(code byte, fields string, body []byte) {
			writing.Lock()
			defer writing.Unlock()
			conn.Write(answerFrame(code, f.id, fields, body))
		})
	}
}

// kentSettings are the settings of WIRE's start message for kent-plant. edit may change them.
func kentSettings(edit func(settings map[string]any)) map[string]any {
	var settings map[string]any
	check(json.Unmarshal([]byte(`{"balancers": 1,
 "ceilings": {"cancel": true, "conn_idle": 15000000, "connect_timeout": 250000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000, "max_open": 20000, "max_retry_after": 2000000, "parallel_tries": false, "peers": false, "probes": true, "retry_after": true, "streams_per_conn": 100, "try_limit": 3},
 "classes": [{"aim": 1000000, "hard_limit": 4000000, "importance": 1.0, "key_scope": "all", "late_value": 0.3, "name": "forecast", "semantics": "pure", "streaming": false, "window": 5000000}, {"aim": 750000, "hard_limit": 5000000, "importance": 2.0, "key_scope": "all", "late_value": 0.1, "name": "pickup-booking", "semantics": "token", "streaming": false, "window": 5000000}],
 "clients": {"marks_retry": true},
 "contract": {"answer_slack": 16000, "ask_every": 10000000, "cold": 17000000, "cold_from": 0.25, "fall": 1000000, "fall_multiple": 4.0, "stop_sending_within": 500000},
 "customers": [{"allowance_per_s": 8000.0, "fraction": 0.56, "name": "harbor-wash"}, {"allowance_per_s": 6300.0, "fraction": 0.44, "name": "ridgeline"}],
 "discovery": "pushed", "family": "warm", "over_share_worth": 0.2, "report": {"fields": ["cpu_share", "x1"], "how": "on_probe"},
 "self_index": 0,
 "specifics": {"counts_alike": true, "kind_memory_mb": [120896.0, 118208.0], "linger_idle": 9100000, "load_control": true, "load_part": 0.0, "load_window": 0, "loads_anyway": 0.0, "marks_cold": true, "memory_price": 0.0, "order_limit": 10000000, "when_absent": "load"},
 "stage": 0, "tick": 4000, "tiers": ["model-hosts"], "weight_kind": "nominal", "worth_by": "request", "zone": 0, "zones": ["kent"]}`), &settings))
	if edit != nil {
		edit(settings)
	}
	return settings
}

// router is a router of the platform.
type router struct {
	*process
	listen string
}

// startRouter starts a router with the command of the deploy file and waits until it answers isWell with true.
func (s *scene) startRouter(b *board, limits map[string]any, settings map[string]any, args string) *router {
	r := &router{listen: freeAddress()}
	b.mu.Lock()
	known := map[string]any{"rev": len(b.events), "notices": append([]boardEvent(nil), b.events...)}
	b.mu.Unlock()
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": r.listen, "seed": "8c1f30d27a5be964", "limits": limits,
		"board": b.listener.Addr().String(), "known": known, "settings": settings})
	check(err)
	path := s.file("config.json", string(config))
	r.process = s.start("router", []string{"BALANCER_NAME=n0", "BALANCER_LISTEN=" + r.listen, "BALANCER_CONFIG=" + path},
		"/bin/sh", "-c", deployCommand("run")+args)
	await("the router is ready", 10*time.Second, func() bool {
		c, err := dialRouter(r.listen)
		if err != nil {
			return false
		}
		defer c.conn.Close()
		return c.isWell()
	})
	s.note("the router is ready")
	return r
}

// client is a client's connection to a router.
type client struct {
	conn   net.Conn
	mu     sync.Mutex
	number int
}

func dialRouter(address string) (*client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn}, nil
}

func (c *client) isWell() bool {
	c.number++
	b, _ := msgpack.Marshal([]any{0, c.number, "isWell", []any{map[string]string{}}})
	c.conn.Write(b)
	c.conn.SetReadDeadline(time.Now().Add(time.Second))
	v, err := msgpack.NewDecoder(c.conn).DecodeSlice()
	if err != nil || len(v) < 4 {
		return false
	}
	result, ok := v[3].([]any)
	return ok && len(result) > 0 && result[0] == true
}

// call encodes a request with the next number.
func (c *client) call(class string, fields map[string]string, body []byte) (number int, message []byte) {
	c.number++
	b, err := msgpack.Marshal([]any{0, c.number, class, []any{fields, body}})
	check(err)
	return c.number, b
}
