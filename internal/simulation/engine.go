package simulation

import (
	"sync"

	"hollymast/control"
)

// engine runs nodes in windows no longer than the least delay of a message: within one, nothing that a node does can reach
// another, so shards run side by side.
type engine struct {
	minDelay control.Micros
	nodes    []*node
	shards   []*shard
}

// shard is the nodes that one thread runs, with their events.
type shard struct {
	queue  eventQueue
	now    control.Micros
	outbox [][]event // to other shards, by their number, until the window ends
	events int       // that have happened
}

func newEngine(threads int, minDelay control.Micros) *engine {
	e := &engine{minDelay: minDelay}
	for range threads {
		e.shards = append(e.shards, &shard{outbox: make([][]event, threads)})
	}
	return e
}

// run runs all events before a time and returns how many there were. Nothing may be scheduled from outside meanwhile.
func (e *engine) run(until control.Micros) (events int) {
	others := startWorkers(e.shards[1:])
	for {
		first, any := e.firstEvent(until)
		if !any {
			break
		}
		end := min(until, first+e.minDelay)
		others.begin(end)
		e.shards[0].runWindow(end)
		others.wait()
		e.exchange()
	}
	others.stop()
	for _, s := range e.shards {
		events += s.events
	}
	return events
}

// firstEvent returns the time of the first event before a time.
func (e *engine) firstEvent(until control.Micros) (first control.Micros, any bool) {
	first = until
	for _, s := range e.shards {
		if len(s.queue) > 0 && s.queue[0].at < first {
			first, any = s.queue[0].at, true
		}
	}
	return first, any
}

// exchange delivers what shards have sent each other in a window.
func (e *engine) exchange() {
	for _, s := range e.shards {
		for i, sent := range s.outbox {
			for _, x := range sent {
				e.shards[i].queue.push(x)
			}
			clear(sent)
			s.outbox[i] = sent[:0]
		}
	}
}

// runWindow runs a shard's events before a time.
func (s *shard) runWindow(end control.Micros) {
	for len(s.queue) > 0 && s.queue[0].at < end {
		x := s.queue.pop()
		s.now = x.at
		s.events++
		x.run()
	}
}

// workers are goroutines that run a shard each, window by window.
type workers struct {
	windows []chan control.Micros
	window  sync.WaitGroup // those that are in a window
	running sync.WaitGroup // the goroutines
}

func startWorkers(shards []*shard) *workers {
	w := &workers{}
	for _, s := range shards {
		ends := make(chan control.Micros)
		w.windows = append(w.windows, ends)
		w.running.Go(func() {
			for end := range ends {
				s.runWindow(end)
				w.window.Done()
			}
		})
	}
	return w
}

func (w *workers) begin(end control.Micros) {
	w.window.Add(len(w.windows))
	for _, ends := range w.windows {
		ends <- end
	}
}

func (w *workers) wait() { w.window.Wait() }

// stop ends the goroutines and waits for them.
func (w *workers) stop() {
	for _, ends := range w.windows {
		close(ends)
	}
	w.running.Wait()
}
