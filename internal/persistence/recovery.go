package persistence

import (
	"cmp"
	"slices"

	"hollymast/control"
)

// RecoveredEntries is what the journals of earlier incarnations hold, in this incarnation's time.
type RecoveredEntries struct {
	Entries      []Entry
	UntimedCount int // how many of the first entries have no known time: they were made now at the latest
	Now          control.Micros
}

// Recovered returns entries that were read at the start, with what is known of their times.
func (j *Journal) Recovered(entries []Entry) RecoveredEntries {
	return RecoveredEntries{entries, j.uncertain, j.Now}
}

// ApplyEntries is Recovered.Apply of entries whose times are known.
func ApplyEntries(state *control.LearnedState, entries []Entry, retention control.Micros, maxKeys int) *KeyIndex {
	return RecoveredEntries{Entries: entries}.Apply(state, retention, maxKeys)
}

// Apply adds to a learned state what was sent after it was saved: attempts to servers in slow start, load commands and admitted
// requests. Where there is no saved state, it takes an empty one. The index returned knows the attempts of keyed requests.
//
// Of entries whose time is unknown, those that limit us count as of now and those that permit something are dropped. An attempt
// that may have run is beyond every retry window, and is remembered as long as if it were sent now.
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
