package modelcheck

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// violation is a state in which a property fails, and the description of the failure.
type violation struct {
	key  Key
	text string
}

// level is the expansion of one depth: workers compute all successors of its states.
type level struct {
	run  *run
	next *frontierWriter

	mu         sync.Mutex // guards next and the fields below
	violations []violation
	steps      int
	err        error
}

// queuedStatesPerWorker is the channel's capacity per worker, so that workers do not wait while states are read from
// files.
const queuedStatesPerWorker = 4

// expand computes the successors of all states of the frontier. If the context is done it returns early and without an
// error.
func (r *run) expand(ctx context.Context, next *frontierWriter) (*level, error) {
	l := &level{run: r, next: next}
	states := make(chan *State, queuedStatesPerWorker*r.workers)
	var workers sync.WaitGroup
	for range r.workers {
		workers.Go(func() {
			for s := range states {
				l.expandState(s)
			}
		})
	}
	err := r.frontier.forEach(func(s *State) bool {
		select {
		case states <- s:
			return true
		case <-ctx.Done():
			return false
		}
	})
	close(states)
	workers.Wait()
	return l, errors.Join(l.err, err)
}

// expandState computes the successors of one state.
func (l *level) expandState(s *State) {
	config, rules, parent := &l.run.Config, l.run.Rules, s.Key()
	steps := s.EnabledSteps(config)
	for _, step := range steps {
		successor, err := s.Apply(config, rules, step)
		if err != nil {
			l.addError(fmt.Errorf("%s: %w", s.Describe(config, step), err))
			continue
		}
		l.addState(successor, origin{Parent: parent, Step: step})
	}
	l.mu.Lock()
	l.steps += len(steps)
	l.mu.Unlock()
}

// addState checks the properties of a state that is reached for the first time and adds it to the next frontier.
func (l *level) addState(s *State, from origin) {
	key := s.Key()
	if !l.run.visited.add(key, from, l.next.depth) {
		return
	}
	text := findViolation(&l.run.Config, s, l.run.Properties)
	l.mu.Lock()
	defer l.mu.Unlock()
	if text != "" {
		l.violations = append(l.violations, violation{key, text})
	}
	l.err = errors.Join(l.err, l.next.add(s))
}

func (l *level) addError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = errors.Join(l.err, err)
}
