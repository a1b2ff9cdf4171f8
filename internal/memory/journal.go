package memory

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hollymast/control"
)

// Kind is what an entry of the journal tells.
type Kind uint8

// The kinds. Execution: a marked job was sent to a server. Unrun: it is proven that it did not run there. ToCold: a job
// was sent to a server that is cold. Ordered: an order to load was given.
// Taken: some jobs were taken, their number in Mark, the first of them then.
const (
	Execution Kind = iota + 1
	Unrun
	ToCold
	Ordered
	Taken
)

// Entry is one line of the journal.
type Entry struct {
	Kind   Kind
	At     control.Micros
	Mark   Mark
	Server control.ServerID
}

const entrySize = 1 + 3*8

func appendEntry(b []byte, e Entry) []byte {
	b = append(b, byte(e.Kind))
	b = binary.BigEndian.AppendUint64(b, uint64(e.At))
	b = binary.BigEndian.AppendUint64(b, uint64(e.Mark))
	return binary.BigEndian.AppendUint64(b, uint64(e.Server))
}

func readEntry(b []byte) (Entry, bool) {
	e := Entry{Kind(b[0]), control.Micros(binary.BigEndian.Uint64(b[1:])), Mark(binary.BigEndian.Uint64(b[9:])),
		control.ServerID(binary.BigEndian.Uint64(b[17:]))}
	return e, e.Kind >= Execution && e.Kind <= Taken && (e.Kind != Taken || e.Mark <= many) && e.At >= 0 && e.At <= latest
}

// A journal file is the magic, then frames: number of entries (two bytes) and CRC-32C of that and the entries (four),
// both big-endian, then the entries.
const (
	journalMagic = "hollymast journal 1\n"
	frameHead    = 6
	mostInFrame  = 1 << 12
)

func appendFrame(b []byte, es []Entry) []byte {
	at := len(b)
	b = append(binary.BigEndian.AppendUint16(b, uint16(len(es))), 0, 0, 0, 0)
	for _, e := range es {
		b = appendEntry(b, e)
	}
	sum := crc32.Update(crc32.Checksum(b[at:at+2], castagnoli), castagnoli, b[at+frameHead:])
	binary.BigEndian.PutUint32(b[at+2:], sum)
	return b
}

// ReadJournal gives a file's entries up to its end or its first damage, which the error tells. Nothing that is owed stands after a
// damage: a file is not written on after a writing that failed, and a sync covers all before it.
func ReadJournal(b []byte) (es []Entry, err error) {
	frames, err := readFrames(b)
	for _, f := range frames {
		es = append(es, f.entries...)
	}
	return es, err
}

type frame struct {
	bytes   []byte
	entries []Entry
}

func readFrames(b []byte) (frames []frame, err error) {
	if len(b) < len(journalMagic) || string(b[:len(journalMagic)]) != journalMagic {
		return nil, fmt.Errorf("%w: no journal", ErrDamaged)
	}
	for b = b[len(journalMagic):]; len(b) > 0; {
		if len(b) < frameHead {
			return frames, ErrDamaged
		}
		n := int(binary.BigEndian.Uint16(b)) * entrySize
		if n == 0 || n > len(b)-frameHead ||
			crc32.Update(crc32.Checksum(b[:2], castagnoli), castagnoli, b[frameHead:frameHead+n]) != binary.BigEndian.Uint32(b[2:]) {
			return frames, ErrDamaged
		}
		es := make([]Entry, 0, n/entrySize)
		for at := frameHead; at < frameHead+n; at += entrySize {
			e, ok := readEntry(b[at:])
			if !ok {
				return frames, ErrDamaged
			}
			es = append(es, e)
		}
		frames = append(frames, frame{b[:frameHead+n], es})
		b = b[frameHead+n:]
	}
	return frames, nil
}

// Sync says when what is written is brought to the disk itself.
type Sync int

// Never: what a killed process wrote is there, what a power cut meets may not be. Grouped: each write is synced, with all
// entries that came meanwhile. Each: each entry is written and synced by itself.
const (
	Never Sync = iota
	Grouped
	Each
)

// Round is a group of entries on its way to the disk.
type Round struct {
	written chan struct{}
	done    chan struct{}
	err     error // before done is closed
	lost    bool  // before written is closed

	// The writer's own.
	entries  []Entry
	released bool // written is closed
}

// Written is closed once a killed process would leave the group behind, or it can't be kept: see Lost. What matters for
// seconds only need not wait for more: a machine that lost its power is away for longer.
func (r *Round) Written() <-chan struct{} { return r.written }

// Done is closed once the group is kept as the journal promises, or can't be: see Err.
func (r *Round) Done() <-chan struct{} { return r.done }

// Err tells, once Done is closed, why the group is not kept.
func (r *Round) Err() error { return r.err }

// Lost tells, once Written is closed, that the group was not even written.
func (r *Round) Lost() bool { return r.lost }

func newRound() *Round { return &Round{written: make(chan struct{}), done: make(chan struct{})} }

func (r *Round) release() {
	if !r.released {
		r.released = true
		close(r.written)
	}
}

func (r *Round) fail(err error) {
	r.err = err
	if !r.released {
		r.lost = true
	}
	r.release()
	close(r.done)
}

// Journal appends entries to files. What is appended is not kept before its round is done; a goroutine of its own writes,
// so that no turn waits for a disk. While the disk fails rounds wait and are tried again; none is dropped but at the end.
type Journal struct {
	JournalOptions
	dir string

	unread   bool // a file, at the start
	unsure   int
	failing  atomic.Bool
	failures atomic.Int64

	mu      sync.Mutex
	pending []Entry
	round   *Round
	owed    int // entries of rounds that are not done
	closed  bool
	wake    chan struct{}
	ended   chan struct{}

	toSync chan File // holds one
	synced chan error

	// The writer's own. Rounds go from unwritten to unsynced to done; when a file is abandoned those unsynced go back.
	file      *journalFile // nil: none stands
	number    int          // the highest in use
	newest    control.Micros
	unwritten []*Round
	unsynced  []*Round
	syncing   int          // of those unsynced, how many the sync that is under way covers
	shadow    *journalFile // an abandoned file that alone holds rounds which were told as written
	carried   int          // how many of the first unwritten rounds
	strays    []int        // numbers of files with nothing owed in them that couldn't be removed
	old       []oldFile
	pausing   bool // after a failure
	pause     time.Duration
	retry     *time.Timer
	syncs     int
	buf       []byte
}

// JournalOptions tells how a journal is kept.
type JournalOptions struct {
	Files  FileSystem
	Sync   Sync
	Keep   control.Micros // how long entries matter
	Most   int64          // bytes of all files; the oldest go
	Full   int64          // bytes after which a next file begins; 0: the usual
	Failed func(error)    // hears of writing that begins to fail, and nil when it is over
	Said   func(string)   // hears what else operators should know
	Pause  time.Duration  // the first after a failure; 0: the usual
	Clock  Clock          // of this life; unknown: times of earlier lives are taken as they are
	Now    control.Micros // in its time
}

// journalFile is a file that is being written.
type journalFile struct {
	File
	number int
	size   int64
	newest control.Micros
	kept   bool // it holds rounds that are done
}

// oldFile is one that is not written any more.
type oldFile struct {
	name   string
	size   int64
	newest control.Micros
	empty  bool // nothing in it is owed
	told   bool // that it can't be removed
}

const (
	// fileSize is when a next file begins: some 160 000 entries, read in a few milliseconds.
	fileSize = 4 << 20
	// mostOwed bounds the entries that wait for the disk: beyond it rounds fail at once. A file that fails for a minute would
	// else take memory without end. It is more than a router of 10 000 jobs a second gives in the seconds a sync may take.
	mostOwed = 1 << 18
	// A failing disk is tried again after a pause, each twice the one before up to a second, so that what fails for a moment
	// costs no job its time, and what fails for an hour costs nothing.
	firstPause = 5 * time.Millisecond
	mostPauses = 200 // of the first
)

// OpenJournal reads a folder's journals, oldest first, and begins a new one. What was told of damage is for operators.
// Entries are kept for a time. Failed hears of writing that begins to fail, and nil when that is over.
func OpenJournal(dir string, sync Sync, keep control.Micros, most int64, failed func(error)) (j *Journal, es []Entry, told []string, err error) {
	return JournalOptions{Files: System{}, Sync: sync, Keep: keep, Most: most, Failed: failed, Said: func(string) {}}.Open(dir)
}

// Open is OpenJournal.
func (o JournalOptions) Open(dir string) (j *Journal, es []Entry, told []string, err error) {
	o.Full, o.Pause = cmp.Or(o.Full, fileSize), cmp.Or(o.Pause, firstPause)
	j = &Journal{JournalOptions: o, dir: dir, wake: make(chan struct{}, 1), ended: make(chan struct{}),
		newest: o.Now, toSync: make(chan File, 1), synced: make(chan error, 1), pause: o.Pause, retry: time.NewTimer(0)}
	<-j.retry.C
	if es, told, err = j.read(); err != nil {
		return nil, nil, told, err
	}
	if err := j.begin(); err != nil {
		j.trouble(err) // it is tried again, and nothing is done before it stands
	}
	go j.run()
	go j.syncFiles()
	return j, es, told, nil
}

func journalName(number int) string { return fmt.Sprintf("journal-%08d", number) }

// read gives what all files hold, oldest first.
func (j *Journal) read() (es []Entry, told []string, err error) {
	var names []string
	if err := Patiently(j.Pause, func() (err error) { names, err = j.Files.Names(j.dir); return err }); err != nil {
		return nil, nil, err
	}
	var last []frame             // of the files before
	for _, name := range names { // by name, so by number
		var number int
		if n, err := fmt.Sscanf(name, "journal-%d", &number); n != 1 || err != nil || strings.Count(name, "-") != 1 {
			continue
		}
		j.number = max(j.number, number)
		b, err := j.readFile(name)
		if err != nil {
			told = append(told, fmt.Sprintf("%s: %v: it is passed over", name, err))
			j.unread = j.unread || Passing(err)
			continue
		}
		frames, err := readFrames(b)
		old := oldFile{name: name, size: int64(len(b))}
		var clock Clock
		if len(frames) > 0 {
			if c, is := noted(frames[0].entries); is {
				clock, frames = c, frames[1:]
			}
		}
		n, sure := 0, j.meet(clock, frames)
		for _, f := range frames {
			n += len(f.entries)
			old.newest = max(old.newest, newest(f.entries))
		}
		old.empty = n == 0 && (err == nil || strings.HasPrefix(journalMagic, string(b[:min(len(b), len(journalMagic))])))
		if j.Now > 0 && !sure && (n > 0 || err != nil) {
			old.newest = j.Now // it may be as young
		}
		if err != nil && len(b) > 0 {
			told = append(told, fmt.Sprintf("%s: %v after %d entries", name, err, n))
		}
		fresh := frames[again(last, frames):]
		for _, f := range fresh {
			es = append(es, f.entries...)
		}
		if !sure {
			j.unsure = len(es)
		}
		last = append(last[max(0, len(last)-mostOwed):], fresh...)
		j.old, j.newest = append(j.old, old), max(j.newest, old.newest)
	}
	return es, told, nil
}

// meet brings a file's entries into the time of this life; sure is false where that can't be done.
func (j *Journal) meet(earlier Clock, frames []frame) (sure bool) {
	by, sure := j.Clock.ahead(earlier)
	for _, f := range frames {
		sure = sure && newest(f.entries)+by <= j.Now
	}
	for _, f := range frames {
		for i := range f.entries {
			if sure {
				f.entries[i].At = max(0, f.entries[i].At+by)
			}
		}
	}
	return sure
}

// Past gives what was read, in the time of this life.
func (j *Journal) Past(es []Entry) Past { return Past{es, j.unsure, j.Now} }

// readFile reads a file, with patience for the first that fails only: a start may not take long.
func (j *Journal) readFile(name string) (b []byte, err error) {
	read := func() (err error) { b, err = j.Files.Read(filepath.Join(j.dir, name)); return err }
	if j.unread {
		return b, read()
	}
	return b, Patiently(j.Pause, read)
}

// Unread tells that a file could not be read at the start: what stands in it is still owed, and not known.
func (j *Journal) Unread() bool { return j.unread }

// again tells how many of a file's first frames stand in the files before: what was not synced in a file that was abandoned was
// written again, frame by frame, at the beginning of the next.
func again(before, frames []frame) int {
	if len(frames) == 0 {
		return 0
	}
	for i := len(before) - 1; i >= 0; i-- {
		if !bytes.Equal(before[i].bytes, frames[0].bytes) {
			continue
		}
		n := 1
		for i+n < len(before) && n < len(frames) && bytes.Equal(before[i+n].bytes, frames[n].bytes) {
			n++
		}
		return n
	}
	return 0
}

// Failing tells whether the last writing failed: what is handed over waits.
func (j *Journal) Failing() bool { return j.failing.Load() }

// Failures counts the writings that failed.
func (j *Journal) Failures() int64 { return j.failures.Load() }

// Append hands over entries and gives the round in which they are written.
func (j *Journal) Append(es ...Entry) *Round {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed || j.owed+len(es) > mostOwed {
		r := newRound()
		r.fail(errors.New("the journal is closed, or too much waits for it"))
		return r
	}
	if j.round == nil {
		j.round = newRound()
		select {
		case j.wake <- struct{}{}:
		default:
		}
	}
	j.pending = append(j.pending, es...)
	j.owed += len(es)
	return j.round
}

// Close writes what is pending and ends. What can't be written then fails.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
	<-j.ended
}

func (j *Journal) run() {
	defer close(j.ended)
	defer close(j.toSync)
	for {
		select {
		case <-j.wake:
		case err := <-j.synced:
			j.syncEnded(err)
		case <-j.retry.C:
			j.pausing = false
		}
		closed := j.takePending()
		if closed {
			j.last()
			return
		}
		if !j.pausing {
			j.bring()
		}
	}
}

func (j *Journal) takePending() (closed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.round; r != nil {
		r.entries = j.pending
		j.unwritten = append(j.unwritten, r)
		j.pending, j.round = nil, nil
	}
	return j.closed
}

// last brings what is left to the disk, trying each step that fails once more.
func (j *Journal) last() {
	for range 2 {
		j.bring()
		if j.syncing > 0 {
			j.syncEnded(<-j.synced)
		}
	}
	for _, r := range slices.Concat(j.unsynced, j.unwritten) {
		r.fail(errors.New("the journal was closed while it could not be written"))
	}
	if j.file != nil {
		j.close(j.file)
	}
	j.retry.Stop()
}

// syncFiles syncs files beside what goes on being written.
func (j *Journal) syncFiles() {
	for f := range j.toSync {
		j.synced <- f.Sync()
	}
}

// bring writes what is unwritten and has it synced where that is promised.
func (j *Journal) bring() {
	if err := j.writeAll(); err != nil {
		j.trouble(err)
		return
	}
	if j.Sync == Grouped && j.syncing == 0 && len(j.unsynced) > 0 {
		j.syncs++
		j.syncing = len(j.unsynced)
		j.toSync <- j.file.File
	}
	j.well()
}

func (j *Journal) writeAll() error {
	if j.file == nil {
		if err := j.begin(); err != nil {
			return err
		}
	}
	for len(j.unwritten) > 0 {
		r := j.unwritten[0]
		// A round as old as the last stays beside it: no two files hold the same frame unless it was written again.
		if j.file.size > j.Full && newest(r.entries) > j.file.newest {
			if err := j.finish(); err != nil {
				return err
			}
			if err := j.begin(); err != nil {
				return err
			}
		}
		if err := j.write(r); err != nil {
			return err
		}
		j.unwritten = j.unwritten[1:]
		if j.unsynced = append(j.unsynced, r); j.Sync != Grouped {
			j.done(1)
		} else {
			r.release()
		}
		if j.carried > 0 {
			if j.carried--; j.carried == 0 { // this file holds them all
				shadow := j.shadow
				j.shadow = nil
				j.discard(shadow.number)
			}
		}
	}
	return nil
}

func newest(es []Entry) (at control.Micros) {
	for _, e := range es {
		at = max(at, e.At)
	}
	return at
}

func (j *Journal) write(r *Round) error {
	part := mostInFrame
	if j.Sync == Each {
		part = 1
	}
	for in := range slices.Chunk(r.entries, part) {
		j.buf = appendFrame(j.buf[:0], in)
		n, err := j.file.Write(j.buf)
		j.file.size += int64(n)
		if err != nil { // it may have left half a frame, which ends the reading: nothing may follow in this file
			return err
		}
		if j.Sync == Each {
			j.syncs++
			if err := j.file.Sync(); err != nil {
				return err
			}
		}
	}
	j.file.newest = max(j.file.newest, newest(r.entries))
	j.newest = max(j.newest, j.file.newest)
	return nil
}

// done ends the first rounds of those unsynced.
func (j *Journal) done(n int) {
	kept := j.unsynced[:n]
	j.unsynced = j.unsynced[n:]
	j.file.kept = true
	j.settle(kept)
	for _, r := range kept {
		r.release()
		close(r.done)
	}
}

// settle takes rounds off what is owed. It comes before they are told as done: whoever waited for that may hand over as much again.
func (j *Journal) settle(kept []*Round) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range kept {
		j.owed -= len(r.entries)
	}
}

func (j *Journal) syncEnded(err error) {
	n := j.syncing
	j.syncing = 0
	if err != nil {
		j.trouble(err)
		return
	}
	j.done(n)
	j.well()
}

// trouble takes in that writing failed. After a failed sync the kernel may count the pages as clean, so that a later success
// proves nothing; after a failed write half a frame may stand there. Either way the file is abandoned.
func (j *Journal) trouble(err error) {
	j.failures.Add(1)
	if !j.failing.Swap(true) {
		j.Failed(err)
	}
	j.abandon()
	j.pausing = true
	j.retry.Reset(j.pause)
	j.pause = min(2*j.pause, mostPauses*j.Pause)
}

// well takes in that all is kept.
func (j *Journal) well() {
	if j.file == nil || len(j.unwritten)+len(j.unsynced) > 0 {
		return
	}
	j.pause = j.Pause
	if !j.failing.Swap(false) {
		return
	}
	j.prune()
	j.Failed(nil)
}

// abandon gives the file up. What was not synced in it is written to the next one.
func (j *Journal) abandon() {
	f := j.file
	if f == nil {
		return
	}
	if j.syncing > 0 {
		n := j.syncing
		if j.syncing = 0; <-j.synced == nil {
			j.done(n)
		}
	}
	j.file = nil
	f.Close() // whatever it says: the file counts for nothing that was not synced
	back := len(j.unsynced)
	j.unwritten, j.unsynced = slices.Concat(j.unsynced, j.unwritten), nil
	switch {
	case j.shadow != nil:
		if j.carried += back; f.kept {
			j.old = append(j.old, oldFile{name: journalName(f.number), size: f.size, newest: f.newest})
		} else {
			j.discard(f.number)
		}
	case f.kept:
		j.old = append(j.old, oldFile{name: journalName(f.number), size: f.size, newest: f.newest})
	case back > 0:
		j.shadow, j.carried = f, back
	default:
		j.discard(f.number)
	}
}

// discard removes a file in which nothing is owed, or notes that it couldn't be.
func (j *Journal) discard(number int) {
	if err := j.Files.Remove(j.path(number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		j.strays = append(j.strays, number)
	}
}

func (j *Journal) path(number int) string { return filepath.Join(j.dir, journalName(number)) }

// finish ends a full file.
func (j *Journal) finish() error {
	if j.syncing > 0 {
		n := j.syncing
		j.syncing = 0
		if err := <-j.synced; err != nil {
			return err
		}
		j.done(n)
	}
	if len(j.unsynced) > 0 {
		j.syncs++
		if err := j.file.Sync(); err != nil {
			return err
		}
		j.done(len(j.unsynced))
	}
	j.close(j.file)
	j.old = append(j.old, oldFile{name: journalName(j.file.number), size: j.file.size, newest: j.file.newest})
	j.file = nil
	return nil
}

// close closes a file of which all that is promised was synced. An error then takes nothing from that.
func (j *Journal) close(f *journalFile) {
	if err := f.Close(); err != nil {
		j.Said(fmt.Sprintf("%s: %v when it was closed", journalName(f.number), err))
	}
}

// begin begins a file. One that can't be begun is removed.
func (j *Journal) begin() error {
	j.prune()
	number := j.number + 1
	if err := j.reuse(number); err != nil {
		return err
	}
	file, err := j.Files.Create(j.path(number))
	if err != nil {
		return err // if it is there all the same, the next try takes its name
	}
	if err := j.head(file); err != nil {
		file.Close()
		if j.discard(number); slices.Contains(j.strays, number) {
			j.number = number // its name may be lost to the failed sync for good: never used again
		}
		return err
	}
	j.number = number
	j.file = &journalFile{File: file, number: number, size: int64(len(journalMagic))}
	return nil
}

// reuse gives a stray the name of the file that is to begin. Guards against a folder that fails for long: in it no more than
// two strays stand, and one of them only while neither can be renamed.
func (j *Journal) reuse(number int) error {
	n := len(j.strays)
	if n == 0 {
		return nil
	}
	err := j.Files.Rename(j.path(j.strays[n-1]), j.path(number))
	if err == nil {
		j.strays = j.strays[:n-1]
	} else if n == 1 {
		return nil
	}
	return err
}

// head writes what a file begins with, and syncs the folder.
func (j *Journal) head(f File) error {
	head := []byte(journalMagic)
	if j.Clock.Boot != 0 {
		head = appendFrame(head, j.Clock.note())
	}
	if _, err := f.Write(head); err != nil {
		return err
	}
	if j.Sync != Never { // so that a disk which fails is not taken for well
		if err := f.Sync(); err != nil {
			return err
		}
	}
	return j.Files.SyncFolder(j.dir)
}

// prune removes files whose entries are all too old, and the oldest beyond the bound. One that can't be removed stays for the
// next time, and keeps nothing from going on.
func (j *Journal) prune() {
	strays := j.strays
	j.strays = nil
	for _, number := range strays {
		j.discard(number)
	}
	total := int64(0)
	for _, o := range j.old {
		total += o.size
	}
	kept := j.old[:0]
	for _, o := range j.old {
		if !o.empty && o.newest+j.Keep >= j.newest && total <= j.Most {
			kept = append(kept, o)
			continue
		}
		if err := j.Files.Remove(filepath.Join(j.dir, o.name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			if !o.told {
				o.told = true
				j.Said(fmt.Sprintf("%s: %v: it stays, and is tried again", o.name, err))
			}
			kept = append(kept, o)
			continue
		}
		total -= o.size
	}
	j.old = kept
}

// Recalled is Past.Recalled of entries whose times are sure.
func Recalled(m *control.LearnedState, es []Entry, keep control.Micros, most int) *Marks {
	return Past{Entries: es}.Recalled(m, keep, most)
}

// Recalled works what a journal tells into a memory: jobs sent to cold servers and orders of after it was saved, which it
// does not hold. With no memory, m is an empty one. Of entries whose time is not sure those that limit us count as of now, and those
// that allow anything don't; what may have run lies beyond every window, and is remembered as long as if it were sent now.
func (p Past) Recalled(m *control.LearnedState, keep control.Micros, most int) *Marks {
	marks := NewMarks(keep, most)
	for i, e := range p.Entries {
		unsure := i < p.Unsure
		latest := e.At
		if unsure {
			latest = p.Now
		}
		switch e.Kind {
		case Execution:
			if unsure {
				e.At = 0
			}
			marks.add(e.Mark, Sent{e.Server, e.At}, latest)
		case Unrun:
			marks.Unrun(e.Mark, e.Server)
		case Ordered:
			if latest > m.SavedAt {
				m.LoadCommands = append(m.LoadCommands, latest)
			}
		case Taken:
			if !unsure && e.At > m.SavedAt && len(m.Admitted) < many {
				m.Admitted = append(m.Admitted, slices.Repeat([]control.Micros{e.At}, int(e.Mark))...)
			}
		case ToCold:
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
