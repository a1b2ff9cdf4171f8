package persistence

import (
	"cmp"
	"slices"

	"hollymast/control"
)

// RecoveredEntries are the journal entries of earlier incarnations, in this incarnation's time.
type RecoveredEntries struct {
	Entries      []Entry
	UntimedCount int // how many of the entries, counted from the first, have unknown times: Now at the latest
	Now          control.Micros
}

// Recovered returns the entries that Open read, with what is known of their times.
func (j *Journal) Recovered(entries []Entry) RecoveredEntries {
	return RecoveredEntries{entries, j.untimedCount, j.Now}
}

// ApplyEntries is RecoveredEntries.Apply for entries whose times are all known.
func ApplyEntries(state *control.LearnedState, entries []Entry, retention control.Micros, maxKeys int) *KeyIndex {
	return RecoveredEntries{Entries: entries}.Apply(state, retention, maxKeys)
}

// Apply adds to a learned state what happened after it was saved: attempts to servers in slow start, load commands and admitted
// requests. If there is no saved state, pass an empty one. The returned index holds the attempts of requests with an idempotency key.
//
// Entries with unknown times are treated as sent now if they restrict the gateway, and dropped if they permit something. An attempt that
// may have run counts as outside every retry window, and is kept in the index as long as if it had been sent now.
func (r RecoveredEntries) Apply(state *control.LearnedState, retention control.Micros, maxKeys int) *KeyIndex {
	index := NewKeyIndex(retention, maxKeys)
	for i, e := range r.Entries {
		uncertain := i < r.UntimedCount
		latest := e.At
		if uncertain {
			latest = r.Now
		}
		switch e.Kind {
		case EntryAttempt:
			if uncertain {
				e.At = 0
			}
			index.add(e.Key, SentAttempt{e.Server, e.At}, latest)
		case EntryNotRun:
			index.RemoveNotRun(e.Key, e.Server)
		case EntryLoadCommand:
			if latest > state.SavedAt {
				state.LoadCommands = append(state.LoadCommands, latest)
			}
		case EntryAdmitted:
			if !uncertain && e.At > state.SavedAt && len(state.Admitted) < maxCount {
				state.Admitted = append(state.Admitted, slices.Repeat([]control.Micros{e.At}, int(e.Key))...)
			}
		case EntrySlowStartSend:
			if latest > state.SavedAt {
				addSlowStartSend(state, e.Server, latest)
			}
		}
	}
	return index
}

func addSlowStartSend(state *control.LearnedState, server control.ServerID, at control.Micros) {
	i, known := slices.BinarySearchFunc(state.Servers, server, func(s control.LearnedServer, id control.ServerID) int {
		return cmp.Compare(s.Server, id)
	})
	if !known {
		state.Servers = slices.Insert(state.Servers, i, control.LearnedServer{Server: server})
	}
	state.Servers[i].SlowStartSends = append(state.Servers[i].SlowStartSends, at)
}
