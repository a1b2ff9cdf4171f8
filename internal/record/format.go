// Package record writes what a core heard and decided to segment files, and reads them back. A segment begins with a
// header and a checkpoint of the whole state, so a replay can begin at any of them.
//
// A segment is the magic bytes, then frames: length and CRC-32C of the payload (four bytes each, big-endian), then the
// payload, CBOR compressed with zstd. The first frame is a Header, the second a core.Snapshot, the others are Turns.
// No body is ever recorded, and functions and tenants only by their ids.
package record

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"hollymast/control"
	"hollymast/internal/core"
)

const magic = "hollymast recording\n"

// Version is the format's. A reader refuses newer ones and reads all older ones. Format 1 has no Requests.
const Version = 2

// Header begins a segment.
type Header struct {
	Version int            `cbor:"Version"`
	Build   string         `cbor:"Build"` // of the program that wrote it
	Router  int            `cbor:"Router"`
	Life    string         `cbor:"Life"`    // tells one run of a router from its others
	Segment int            `cbor:"Segment"` // within the life, from 0
	Turn    uint64         `cbor:"Turn"`    // the first turn in it
	Clock   control.Micros `cbor:"Clock"`   // the router's time at the checkpoint
	Gap     uint64         `cbor:"Gap"`     // turns lost before it
}

// Turn is one turn: what was heard, in order, and what was then asked of the outlet, in order.
type Turn struct {
	_     struct{} `cbor:",toarray"`
	Clock control.Micros
	Heard []News
	Did   []Deed
}

// News is one thing heard; one of its parts is set.
type News struct {
	Arrived  *control.Request  `cbor:"1,keyasint,omitempty"`
	Answered *control.Outcome  `cbor:"2,keyasint,omitempty"`
	Job      control.RequestID `cbor:"3,keyasint,omitempty"` // of Answered and Left
	Listed   *Listed           `cbor:"4,keyasint,omitempty"`
	Left     bool              `cbor:"5,keyasint,omitempty"`
	Loaded   *Loaded           `cbor:"6,keyasint,omitempty"`
	Request  uint64            `cbor:"7,keyasint,omitempty"` // of Arrived: Tag of its client's id for it; 0: none
}

// Listed is a list of servers as heard.
type Listed struct {
	Kind control.UpdateKind `cbor:"Kind"`
	List []control.Endpoint `cbor:"List"`
}

// Loaded is an answer to an order.
type Loaded struct {
	Server   control.ServerID   `cbor:"Server"`
	Function control.FunctionID `cbor:"Function"`
	Result   control.Result     `cbor:"Result"`
	Took     control.Micros     `cbor:"Took"`
	Copies   int                `cbor:"Copies"`
}

// What a Deed does.
const (
	Send uint8 = iota + 1
	PushBack
	Kill
	CallOff
	Order
	Subscribe
	Note
	Alarm
)

var words = [...]string{"nothing", "send", "push back", "kill", "call off", "order", "subscribe", "note", "alarm"}

// Deed is one thing asked of the outlet.
type Deed struct {
	Verb     uint8              `cbor:"1,keyasint"`
	Job      control.RequestID  `cbor:"2,keyasint,omitempty"`
	No       control.AttemptID  `cbor:"3,keyasint,omitempty"`
	Server   control.ServerID   `cbor:"4,keyasint,omitempty"`
	Time     control.Micros     `cbor:"5,keyasint,omitempty"` // allowed, to stay away, or of the alarm
	Function control.FunctionID `cbor:"6,keyasint,omitempty"`
	Copies   int                `cbor:"7,keyasint,omitempty"`
	Text     string             `cbor:"8,keyasint,omitempty"`
}

// String tells a deed in plain words.
func (d Deed) String() string {
	word := words[0]
	if int(d.Verb) < len(words) {
		word = words[d.Verb]
	}
	switch d.Verb {
	case Send:
		return fmt.Sprintf("send job %d, execution %d, to server %x for at most %d us", d.Job, d.No, d.Server, d.Time)
	case PushBack:
		return fmt.Sprintf("push back job %d for %d us", d.Job, d.Time)
	case Kill:
		return fmt.Sprintf("kill job %d", d.Job)
	case CallOff:
		return fmt.Sprintf("call off execution %d of job %d", d.No, d.Job)
	case Order:
		return fmt.Sprintf("order server %x to hold %d copies of function %x for job %d", d.Server, d.Copies, d.Function, d.Job)
	case Note:
		return "note: " + d.Text
	case Alarm:
		return fmt.Sprintf("wake at %d", d.Time)
	}
	return word
}

// batch is the payload of a frame of turns.
type batch struct {
	_     struct{} `cbor:",toarray"`
	First uint64
	Turns []Turn
}

// Tape turns a core's calls into turns. It is the part of the writer and of the comparison that runs within a turn. What
// turns hold is cut from a few large pieces: allocations of their own cost more than all else on the tape.
type Tape struct {
	turn     Turn
	End      func(Turn) // takes each finished turn
	news     []News
	deeds    []Deed
	jobs     []control.Request
	outcomes []control.Outcome
}

// piece is how many of a kind are allocated at once: a few hundred turns.
const piece = 256

// keep puts v at the end of a piece, or of a new one, and gives its place.
func keep[T any](p *[]T, v T) *T {
	if len(*p) == cap(*p) {
		*p = make([]T, 0, piece)
	}
	*p = append(*p, v)
	return &(*p)[len(*p)-1]
}

// add lengthens a list that stands at the end of a piece; where the piece is full the list moves to a new one.
func add[T any](p *[]T, list []T, v T) []T {
	if len(*p) == cap(*p) {
		*p = append(make([]T, 0, max(piece, 2*len(list))), list...)
		list = *p
	}
	*p = append(*p, v)
	return (*p)[len(*p)-len(list)-1:]
}

// StepEnded ends a turn.
func (t *Tape) StepEnded(now control.Micros) {
	t.turn.Clock = now
	turn := t.turn
	t.turn = Turn{}
	t.End(turn)
}

func (t *Tape) heard(n News) { t.turn.Heard = add(&t.news, t.turn.Heard, n) }
func (t *Tape) did(d Deed)   { t.turn.Did = add(&t.deeds, t.turn.Did, d) }

// EndpointsUpdated notes a list of servers.
func (t *Tape) EndpointsUpdated(kind control.UpdateKind, list []control.Endpoint) {
	t.heard(News{Listed: &Listed{kind, list}})
}

// RequestAdded notes a new job.
func (t *Tape) RequestAdded(job control.Request) { t.heard(News{Arrived: keep(&t.jobs, job)}) }

// Asked notes the client's id for the job that has just arrived, as a Tag.
func (t *Tape) Asked(request uint64) { t.turn.Heard[len(t.turn.Heard)-1].Request = request }

// Tag hides a text: with a key nobody without it can check a guess against the tag.
func Tag(key, text string) uint64 {
	if key == "" {
		return xxhash.Sum64String(text)
	}
	h := hmac.New(sha256.New, []byte(key))
	h.Write([]byte(text))
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// AttemptEnded notes the end of an execution.
func (t *Tape) AttemptEnded(id control.RequestID, o control.Outcome) {
	t.heard(News{Job: id, Answered: keep(&t.outcomes, o)})
}

// RequestCancelled notes that a client left.
func (t *Tape) RequestCancelled(id control.RequestID) { t.heard(News{Job: id, Left: true}) }

// LoadEnded notes the answer to an order.
func (t *Tape) LoadEnded(s control.ServerID, f control.FunctionID, result control.Result, took control.Micros, copies int) {
	t.heard(News{Loaded: &Loaded{s, f, result, took, copies}})
}

// Forward and the others note what the core asked of its outlet.
func (t *Tape) Forward(j *control.Request, no control.AttemptID, to control.ServerID, allow control.Micros) {
	t.did(Deed{Verb: Send, Job: j.ID, No: no, Server: to, Time: allow})
}

// Reject notes a push back.
func (t *Tape) Reject(id control.RequestID, stayAway control.Micros) {
	t.did(Deed{Verb: PushBack, Job: id, Time: stayAway})
}

// Fail notes a kill.
func (t *Tape) Fail(id control.RequestID) { t.did(Deed{Verb: Kill, Job: id}) }

// CancelAttempt notes an execution called off.
func (t *Tape) CancelAttempt(id control.RequestID, no control.AttemptID) {
	t.did(Deed{Verb: CallOff, Job: id, No: no})
}

// Load notes an order to load.
func (t *Tape) Load(j *control.Request, o control.LoadCommand) {
	t.did(Deed{Verb: Order, Job: j.ID, Server: o.Server, Function: o.Function, Copies: o.Replicas})
}

// SubscribeEndpoints notes the wish for changes of the list.
func (t *Tape) SubscribeEndpoints() { t.did(Deed{Verb: Subscribe}) }

// LogServerEvent notes a change in a server's health.
func (t *Tape) LogServerEvent(event control.ServerEvent) {
	t.did(Deed{Verb: Note, Text: event.String()})
}

// SetTimer notes the alarm.
func (t *Tape) SetTimer(at control.Micros) { t.did(Deed{Verb: Alarm, Time: at}) }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// maxFrame bounds what a broken length can make a reader allocate: a checkpoint of many thousand functions fits.
const maxFrame = 256 << 20

// encoder and decoder are safe for use by several goroutines through EncodeAll and DecodeAll.
var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxFrame), zstd.WithDecoderConcurrency(1))
)

// appendFrame appends a frame that holds v.
func appendFrame(b []byte, v any) ([]byte, error) {
	plain, err := cbor.Marshal(v)
	if err != nil {
		return b, err
	}
	payload := encoder.EncodeAll(plain, nil)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...), nil
}

// ErrDamaged is the end of what can be read of a segment, where more should follow.
var ErrDamaged = errors.New("damaged or cut short")

var decMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 20}.DecMode()

// readFrame reads a frame into v; io.EOF tells of an orderly end.
func readFrame(r io.Reader, v any) error {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err == io.EOF {
		return io.EOF
	} else if err != nil {
		return ErrDamaged
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return ErrDamaged
	}
	payload := make([]byte, 0, min(n, 1<<20)) // a broken length costs no more than what follows it
	payload, err := appendAll(payload, r, int(n))
	if err != nil || crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(head[4:]) {
		return ErrDamaged
	}
	plain, err := decoder.DecodeAll(payload, nil)
	if err != nil {
		return ErrDamaged
	}
	if err := decMode.Unmarshal(plain, v); err != nil {
		return fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	return nil
}

func appendAll(b []byte, r io.Reader, n int) ([]byte, error) {
	for len(b) < n {
		at := len(b)
		b = append(b, make([]byte, min(n-at, 1<<20))...)
		if _, err := io.ReadFull(r, b[at:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

var _ core.Recorder = (*Tape)(nil)
