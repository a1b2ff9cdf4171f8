package persistence

import (
	"cmp"
	"slices"

	"hollymast/control"
)

// Past is what a journal tells of earlier lives, in the time of this one.
type Recovered struct {
	Entries   []Entry
	Uncertain int // of so many first ones it is known only that they were made, at the latest now
	Now       control.Micros
}

// Recalled works what a journal tells into a memory: jobs sent to cold servers and orders of after it was saved, which it
// does not hold. With no memory, m is an empty one. Of entries whose time is not sure those that limit us count as of now, and those
// that allow anything don't; what may have run lies beyond every window, and is remembered as long as if it were sent now.
func (p Recovered) Apply(m *control.LearnedState, keep control.Micros, most int) *KeyIndex {
	marks := NewKeyIndex(keep, most)
	for i, e := range p.Entries {
		unsure := i < p.Uncertain
		latest := e.At
		if unsure {
			latest = p.Now
		}
		switch e.Kind {
		case EntryAttempt:
			if unsure {
				e.At = 0
			}
			marks.add(e.Key, SentAttempt{e.Server, e.At}, latest)
		case EntryNotRun:
			marks.RemoveNotRun(e.Key, e.Server)
		case EntryLoadCommand:
			if latest > m.SavedAt {
				m.LoadCommands = append(m.LoadCommands, latest)
			}
		case EntryAdmitted:
			if !unsure && e.At > m.SavedAt && len(m.Admitted) < maxCount {
				m.Admitted = append(m.Admitted, slices.Repeat([]control.Micros{e.At}, int(e.Key))...)
			}
		case EntrySlowStartSend:
			if latest <= m.SavedAt {
				continue
			}
			i, known := slices.BinarySearchFunc(m.Servers, e.Server, func(s control.LearnedServer, id control.ServerID) int {
				return cmp.Compare(s.Server, id)
			})
			if !known {
				m.Servers = slices.Insert(m.Servers, i, control.LearnedServer{Server: e.Server})
			}
			m.Servers[i].SlowStartSends = append(m.Servers[i].SlowStartSends, latest)
		}
	}
	return marks
}

// Recalled is Past.Recalled of entries whose times are sure.
func ApplyEntries(m *control.LearnedState, es []Entry, keep control.Micros, most int) *KeyIndex {
	return Recovered{Entries: es}.Apply(m, keep, most)
}

// Past gives what was read, in the time of this life.
func (j *Journal) Recovered(es []Entry) Recovered { return Recovered{es, j.uncertain, j.Now} }
