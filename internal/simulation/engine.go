package simulation

import (
	"sync"

	"hollymast/control"
)

// engine runs the events of all nodes in time windows that are no longer than the minimum delay of a message. Within a
// window no node can affect another, so that the shards run in parallel.
type engine struct {
	minDelay control.Micros
	nodes    []*node
	shards   []*shard
}

// shard is a group of nodes that one goroutine runs, with their events.
type shard struct {
	queue  eventQueue
	now    control.Micros
	outbox [][]event // for other shards, by shard; delivered when the window ends
	events int       // number of events run
}

func newEngine(threads int, minDelay control.Micros) *engine {
	e := &engine{minDelay: minDelay}
	for range threads {
		e.shards = append(e.shards, &shard{outbox: make([][]event, threads)})
	}
	return e
}

// run runs all events before a time and returns their number. Meanwhile only events may schedule other events.
func (e *engine) run(until control.Micros) (events int) {
	others := startWorkers(e.shards[1:])
	for {
		first, ok := e.firstEvent(until)
		if !ok {
			break
		}
		end := min(until, first+e.minDelay)
		others.startWindow(end)
		e.shards[0].runWindow(end)
		others.waitWindow()
		e.deliverOutboxes()
	}
	others.stop()
	for _, s := range e.shards {
		events += s.events
	}
	return events
}

// firstEvent returns the time of the first event before until; ok is false if there is none.
func (e *engine) firstEvent(until control.Micros) (first control.Micros, ok bool) {
	first = until
	for _, s := range e.shards {
		if len(s.queue) > 0 && s.queue[0].at < first {
			first, ok = s.queue[0].at, true
		}
	}
	return first, ok
}

// deliverOutboxes delivers the events that shards have sent each other during a window.
func (e *engine) deliverOutboxes() {
	for _, s := range e.shards {
		for i, sent := range s.outbox {
			for _, sentEvent := range sent {
				e.shards[i].queue.push(sentEvent)
			}
			clear(sent)
			s.outbox[i] = sent[:0]
		}
	}
}

// runWindow runs the shard's events before end.
func (s *shard) runWindow(end control.Micros) {
	for len(s.queue) > 0 && s.queue[0].at < end {
		next := s.queue.pop()
		s.now = next.at
		s.events++
		next.run()
	}
}

// shardWorkers are goroutines that run one shard each, window by window.
type shardWorkers struct {
	windowEnds []chan control.Micros // by worker; receives the end of each window
	inWindow   sync.WaitGroup        // workers that have not finished the current window
	goroutines sync.WaitGroup        // running workers
}

func startWorkers(shards []*shard) *shardWorkers {
	w := &shardWorkers{}
	for _, s := range shards {
		ends := make(chan control.Micros)
		w.windowEnds = append(w.windowEnds, ends)
		w.goroutines.Go(func() {
			for end := range ends {
				s.runWindow(end)
				w.inWindow.Done()
			}
		})
	}
	return w
}

func (w *shardWorkers) startWindow(end control.Micros) {
	w.inWindow.Add(len(w.windowEnds))
	for _, ends := range w.windowEnds {
		ends <- end
	}
}

func (w *shardWorkers) waitWindow() { w.inWindow.Wait() }

// stop stops the workers and waits for them.
func (w *shardWorkers) stop() {
	for _, ends := range w.windowEnds {
		close(ends)
	}
	w.goroutines.Wait()
}
