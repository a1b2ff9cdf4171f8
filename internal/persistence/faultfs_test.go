package persistence

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
)

var errKilled = errors.New("killed")

// fault is the way in which a file system call fails. After a kill no further call has an effect; the call during which it happens has
// none, a partial or its full effect.
type fault int

const (
	noFault       fault = iota
	failsBefore         // fails without an effect
	failsPartway        // a write writes half of its bytes and fails; other calls take effect and yet fail
	killedBefore        // killed before the call takes effect
	killedPartway       // killed as a write has written half of its bytes; other calls take effect
	killedAfter         // killed after the call took effect
)

// byteState says whether a byte survives a power failure. A byte that was dirty during a failed sync is lost: the kernel marks its page as
// clean, so that no later sync writes it.
type byteState byte

const (
	dirty byteState = iota
	durable
	lost
)

type inode struct {
	data   []byte
	states []byteState
}

// crash is how an incarnation ends: by a kill, after which everything written is still there, or by a power failure.
type crash struct {
	powerCut         bool
	unsyncedSurvives bool // after a power failure: unsynced data is there, except for bytes lost to failed syncs
}

var crashes = []crash{{}, {powerCut: true}, {powerCut: true, unsyncedSurvives: true}}

// faultFS is an in-memory file system that fails or is killed at chosen calls, and can compute what the next incarnation finds.
type faultFS struct {
	mu       sync.Mutex
	names    map[string]*inode
	synced   map[string]*inode // names that survive a power failure; nil: the name is lost to a failed sync of the directory
	removed  map[string]*inode // removed since the last sync of the directory: a power failure may bring them back
	calls    int
	bytes    int
	maxFiles int // highest number of files at any time
	plan     func(n int, call, name string) fault
	err      error
	crashed  chan struct{} // closed once killed
}

func newFaultFS(plan func(n int, call, name string) fault) *faultFS {
	return &faultFS{names: map[string]*inode{}, synced: map[string]*inode{}, removed: map[string]*inode{}, plan: plan,
		err: syscall.ENOSPC, crashed: make(chan struct{})}
}

func (d *faultFS) isKilled() bool {
	select {
	case <-d.crashed:
		return true
	default:
		return false
	}
}

// call makes one call with the fault that is planned for it; do performs the call, or half of it.
func (d *faultFS) call(call, name string, do func(half bool) error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isKilled() {
		return errKilled
	}
	d.calls++
	switch f := d.plan(d.calls, call, filepath.Base(name)); f {
	case failsBefore:
		if call == "sync" || call == "syncdir" {
			do(false)
		}
		return d.err
	case failsPartway:
		do(true)
		return d.err
	case killedBefore, killedPartway, killedAfter:
		if f != killedBefore {
			do(f == killedPartway)
		}
		close(d.crashed)
		return errKilled
	}
	return do(false)
}

func (d *faultFS) List(dir string) (names []string, err error) {
	err = d.call("list", dir, func(bool) error {
		for name := range d.names {
			names = append(names, strings.TrimPrefix(name, dir+"/"))
		}
		slices.Sort(names)
		return nil
	})
	return names, err
}

func (d *faultFS) Read(name string) (b []byte, err error) {
	err = d.call("read", name, func(bool) error {
		i := d.names[name]
		if i == nil {
			return fs.ErrNotExist
		}
		b = slices.Clone(i.data)
		return nil
	})
	return b, err
}

type faultFile struct {
	*inode
	fileSystem *faultFS
	name       string
}

func (d *faultFS) Create(name string) (File, error) {
	f := &faultFile{fileSystem: d, name: name}
	err := d.call("create", name, func(bool) error {
		if f.inode = d.names[name]; f.inode == nil {
			f.inode = &inode{}
			d.names[name] = f.inode
		}
		f.data, f.states = nil, nil
		d.maxFiles = max(d.maxFiles, len(d.names))
		return nil
	})
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (f *faultFile) Write(b []byte) (n int, err error) {
	err = f.fileSystem.call("write", f.name, func(half bool) error {
		if n = len(b); half {
			n /= 2
		}
		f.data = append(f.data, b[:n]...)
		f.states = append(f.states, make([]byteState, n)...)
		f.fileSystem.bytes += n
		return nil
	})
	return n, err
}

func (f *faultFile) Sync() error {
	return f.fileSystem.call("sync", f.name, func(bool) error {
		newState := durable
		if f.fileSystem.currentCallFails(f.name, "sync") {
			newState = lost
		}
		for i, s := range f.states {
			if s == dirty {
				f.states[i] = newState
			}
		}
		return nil
	})
}

// currentCallFails reports whether the current call is planned to fail.
func (d *faultFS) currentCallFails(name, call string) bool {
	f := d.plan(d.calls, call, filepath.Base(name))
	return f == failsBefore || f == failsPartway || f == killedPartway
}

func (f *faultFile) Close() error {
	return f.fileSystem.call("close", f.name, func(bool) error { return nil })
}

func (d *faultFS) Rename(from, to string) error {
	return d.call("rename", to, func(bool) error {
		if d.names[from] == nil { // a removal that was reported as failed took effect
			return fs.ErrNotExist
		}
		if previous := d.synced[to]; previous != nil {
			d.removed[to] = previous
		}
		d.dropLostName(to)
		d.names[to] = d.names[from]
		d.unlink(from)
		return nil
	})
}

func (d *faultFS) Remove(name string) error {
	return d.call("remove", name, func(bool) error {
		if d.names[name] == nil {
			return fs.ErrNotExist
		}
		d.unlink(name)
		return nil
	})
}

// unlink removes a name, which a power failure may bring back.
func (d *faultFS) unlink(name string) {
	if previous := d.synced[name]; previous != nil {
		d.removed[name] = previous
	}
	d.dropLostName(name)
	delete(d.names, name)
}

// dropLostName is called when a name changes: if it was lost, the next sync of the directory can make it durable again.
func (d *faultFS) dropLostName(name string) {
	if d.synced[name] == nil {
		delete(d.synced, name)
	}
}

func (d *faultFS) SyncDir(dir string) error {
	return d.call("syncdir", dir, func(bool) error {
		fails := d.currentCallFails(dir, "syncdir")
		for name, i := range d.names {
			if _, known := d.synced[name]; !known || !fails && d.synced[name] != nil {
				if d.synced[name] = i; fails {
					d.synced[name] = nil
				}
			}
		}
		if !fails {
			clear(d.removed)
			maps.DeleteFunc(d.synced, func(name string, _ *inode) bool { return d.names[name] == nil })
		}
		return nil
	})
}

// afterCrash returns the file system that the next incarnation finds.
func (d *faultFS) afterCrash(c crash) *faultFS {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := newFaultFS(func(int, string, string) fault { return noFault })
	names := maps.Clone(d.names)
	if c.powerCut {
		if !c.unsyncedSurvives {
			names = map[string]*inode{}
			for name, i := range d.synced {
				if i != nil && (d.names[name] != nil || d.removed[name] != nil) {
					names[name] = i
				}
			}
		}
		maps.Copy(names, d.removed)
	}
	for name, i := range names {
		b := slices.Clone(i.data)
		end := 0
		for at, s := range i.states {
			if c.powerCut && (s == lost || s == dirty && !c.unsyncedSurvives) {
				b[at] = 0
			} else {
				end = at + 1
			}
		}
		if c.powerCut && !c.unsyncedSurvives {
			b = b[:end]
		}
		copied := &inode{data: b, states: slices.Repeat([]byteState{durable}, len(b))}
		next.names[name], next.synced[name] = copied, copied
	}
	return next
}

func (d *faultFS) String() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		fmt.Fprintf(&b, "%s %d ", filepath.Base(name), len(d.names[name].data))
	}
	return b.String()
}
