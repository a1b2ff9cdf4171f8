package discovery

import "slices"

// watchList is the watches of a client, in the order in which they were opened. Its methods are called with the client's
// lock held.
type watchList []*watch

// open returns the watches that have not ended.
func (l watchList) open() (open watchList) {
	for _, w := range l {
		if w.endErr == nil {
			open = append(open, w)
		}
	}
	return open
}

// without returns the list without one watch.
func (l watchList) without(removed *watch) watchList {
	return slices.DeleteFunc(l, func(w *watch) bool { return w == removed })
}

// endAllExcept ends all watches but one.
func (l watchList) endAllExcept(kept *watch, err error) {
	for _, w := range l {
		if w != kept {
			w.markEnded(err)
		}
	}
}

// supersede marks all watches as those of a server that has moved. It ends those from which nothing more is expected.
func (l watchList) supersede() {
	for _, w := range l {
		w.superseded = true
	}
	l.endAllExcept(l.open().lastSource(), errAddressChanged)
}

// lastSource returns the watch from which events are the most likely to come after the server has moved: the latest that
// was answered, else the latest that has subscribed; nil if there is none.
func (l watchList) lastSource() (last *watch) {
	for _, w := range l {
		if w.answered() || w.conn != nil && (last == nil || !last.answered()) {
			last = w
		}
	}
	return last
}

// leastPromising returns the watch that is the least likely to be answered next: one that misses an event, else the
// youngest, since a crowded server answers in the order of the subscriptions, but rather one without a connection.
func (l watchList) leastPromising() *watch {
	if w := l.missingEvent(); w != nil {
		return w
	}
	for _, w := range slices.Backward(l) {
		if w.phase() == dialing {
			return w
		}
	}
	return l[len(l)-1]
}

// missingEvent returns the first watch that misses an event; nil if there is none.
func (l watchList) missingEvent() *watch {
	for _, w := range l {
		if w.subscription != nil && w.subscription.Missing() {
			return w
		}
	}
	return nil
}
