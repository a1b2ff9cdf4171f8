package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// keyMemory is what a group of workers remembers of the idempotency keys that it has seen: it drops a repeat for the window, counted from
// the arrival of the first, and answers it as the first was answered.
type keyMemory struct {
	window time.Duration
	mu     sync.Mutex
	seen   map[string]*keyEntry
}

type keyEntry struct {
	at   time.Time
	done chan struct{} // closed when the first has run
}

func newKeyMemory(window time.Duration) *keyMemory {
	return &keyMemory{window: window, seen: map[string]*keyEntry{}}
}

// first reports whether a key is new, and remembers it.
func (m *keyMemory) first(key string) (*keyEntry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.seen[key]; e != nil && time.Since(e.at) <= m.window {
		return e, false
	}
	e := &keyEntry{at: time.Now(), done: make(chan struct{})}
	m.seen[key] = e
	return e, true
}

// execution is one run of a request at a worker.
type execution struct {
	at          time.Duration // since the scene began
	worker, key string
	model       string
}

// ledger is what ran, over all workers.
type ledger struct {
	scene *scene
	mu    sync.Mutex
	runs  []execution
}

func (l *ledger) add(e execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, e)
}

// byKey returns the runs of each key.
func (l *ledger) byKey() map[string][]execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := map[string][]execution{}
	for _, e := range l.runs {
		runs[e.key] = append(runs[e.key], e)
	}
	return runs
}

// worker is a stand-in for a worker that speaks KServe v2. It loads a model that it lacks while the request waits, runs requests, and drops
// repeats of keys that its group remembers.
type worker struct {
	name     string
	scene    *scene
	ledger   *ledger
	keys     *keyMemory // nil: repeats are not recognized (run-once)
	loadTime time.Duration
	workTime time.Duration
	// loseAnswer reports whether the answer to a request that has run is lost: nothing is written, the connection stays open.
	loseAnswer func(model, key string) bool
	resetAfter func(model, key string) bool   // the connection is reset in place of the answer
	slow       func(key string) time.Duration // how much longer a request takes than workTime; nil: none does

	mu       sync.Mutex
	loaded   map[string]chan struct{} // closed when the model is loaded
	listener net.Listener
	server   *http.Server
}

// startWorker starts a worker at an address; an empty address is a free one.
func startWorker(w *worker, address string) *worker {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	check(err)
	w.listener, w.loaded = l, map[string]chan struct{}{}
	w.server = &http.Server{Handler: w}
	go w.server.Serve(l)
	return w
}

func (w *worker) address() string { return w.listener.Addr().String() }

// stop ends the worker and resets its connections, as when a process dies.
func (w *worker) stop() { w.server.Close() }

// ServeHTTP answers an inference request, a load command or a health check.
func (w *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	io.Copy(io.Discard, in.Body)
	parts := strings.Split(strings.TrimPrefix(in.URL.Path, "/v2/"), "/")
	switch {
	case len(parts) == 3 && parts[0] == "models" && parts[2] == "infer":
		w.infer(out, in, parts[1])
	case len(parts) == 4 && parts[0] == "repository" && parts[3] == "load":
		w.load(parts[2])
		io.WriteString(out, `{"parameters":{"copies":1}}`)
	default:
		io.WriteString(out, `{}`)
	}
}

// load waits until a model is loaded, and returns whether it was loaded before.
func (w *worker) load(model string) (found string) {
	w.mu.Lock()
	ready, known := w.loaded[model]
	if !known {
		ready = make(chan struct{})
		w.loaded[model] = ready
		time.AfterFunc(w.loadTime, func() { close(ready) })
	}
	w.mu.Unlock()
	select {
	case <-ready:
		return "warm"
	default:
	}
	<-ready
	if known {
		return "joined"
	}
	return "began"
}

// infer runs a request, unless it is a repeat.
func (w *worker) infer(out http.ResponseWriter, in *http.Request, model string) {
	key := in.Header.Get("Idempotency-Key")
	w.scene.recordOnly("%s received %s key=%s timeout_ms=%s via=%q", w.name, model, key, in.Header.Get("X-Envoy-Expected-Rq-Timeout-Ms"), in.Header.Get("Via"))
	if w.keys != nil {
		entry, first := w.keys.first(key)
		if !first {
			<-entry.done
			w.scene.recordOnly("%s dropped the repeat key=%s", w.name, key)
			w.answer(out, model, "warm")
			return
		}
		defer close(entry.done)
	}
	found := w.load(model)
	w.ledger.add(execution{time.Since(w.scene.began), w.name, key, model})
	w.scene.recordOnly("%s RUNS %s key=%s", w.name, model, key)
	work := w.workTime
	if w.slow != nil {
		work += w.slow(key)
	}
	time.Sleep(work)
	switch {
	case w.loseAnswer != nil && w.loseAnswer(model, key):
		w.scene.recordOnly("%s: the answer to key=%s is lost", w.name, key)
		conn, _, err := out.(http.Hijacker).Hijack()
		if err == nil {
			go func() { // silent until the router closes it
				io.Copy(io.Discard, conn)
				conn.Close()
			}()
		}
		return
	case w.resetAfter != nil && w.resetAfter(model, key):
		w.scene.recordOnly("%s: the connection is reset under key=%s", w.name, key)
		if conn, _, err := out.(http.Hijacker).Hijack(); err == nil {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		return
	}
	w.answer(out, model, found)
}

func (w *worker) answer(out http.ResponseWriter, model, found string) {
	out.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(out, `{"model_name":%q,"outputs":[],"parameters":{"found":%q}}`, model, found)
}
