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
	Version     int            `cbor:"Version"`
	Build       string         `cbor:"Build"` // of the program that wrote it
	Router      int            `cbor:"Router"`
	Incarnation string         `cbor:"Life"`    // tells one run of a router from its others
	Segment     int            `cbor:"Segment"` // within the life, from 0
	FirstStep   uint64         `cbor:"Turn"`    // the first turn in it
	Clock       control.Micros `cbor:"Clock"`   // the router's time at the checkpoint
	LostSteps   uint64         `cbor:"Gap"`     // turns lost before it
}

// Turn is one turn: what was heard, in order, and what was then asked of the outlet, in order.
type Step struct {
	_        struct{} `cbor:",toarray"`
	Clock    control.Micros
	Events   []Event
	Commands []Command
}

// News is one thing heard; one of its parts is set.
type Event struct {
	Added      *control.Request  `cbor:"1,keyasint,omitempty"`
	Outcome    *control.Outcome  `cbor:"2,keyasint,omitempty"`
	RequestID  control.RequestID `cbor:"3,keyasint,omitempty"` // of Answered and Left
	Endpoints  *EndpointUpdate   `cbor:"4,keyasint,omitempty"`
	Cancelled  bool              `cbor:"5,keyasint,omitempty"`
	LoadResult *LoadResult       `cbor:"6,keyasint,omitempty"`
	ClientTag  uint64            `cbor:"7,keyasint,omitempty"` // of Arrived: Tag of its client's id for it; 0: none
}

// Listed is a list of servers as heard.
type EndpointUpdate struct {
	Kind      control.UpdateKind `cbor:"Kind"`
	Endpoints []control.Endpoint `cbor:"List"`
}

// Loaded is an answer to an order.
type LoadResult struct {
	Server   control.ServerID   `cbor:"Server"`
	Function control.FunctionID `cbor:"Function"`
	Result   control.Result     `cbor:"Result"`
	Duration control.Micros     `cbor:"Took"`
	Replicas int                `cbor:"Copies"`
}

// What a Deed does.
const (
	CommandForward uint8 = iota + 1
	CommandReject
	CommandFail
	CommandCancelAttempt
	CommandLoad
	CommandSubscribe
	CommandLog
	CommandSetTimer
)

var words = [...]string{"nothing", "send", "push back", "kill", "call off", "order", "subscribe", "note", "alarm"}

// Deed is one thing asked of the outlet.
type Command struct {
	Kind     uint8              `cbor:"1,keyasint"`
	Request  control.RequestID  `cbor:"2,keyasint,omitempty"`
	Attempt  control.AttemptID  `cbor:"3,keyasint,omitempty"`
	Server   control.ServerID   `cbor:"4,keyasint,omitempty"`
	Time     control.Micros     `cbor:"5,keyasint,omitempty"` // allowed, to stay away, or of the alarm
	Function control.FunctionID `cbor:"6,keyasint,omitempty"`
	Replicas int                `cbor:"7,keyasint,omitempty"`
	Text     string             `cbor:"8,keyasint,omitempty"`
}

// String tells a deed in plain words.
func (d Command) String() string {
	word := words[0]
	if int(d.Kind) < len(words) {
		word = words[d.Kind]
	}
	switch d.Kind {
	case CommandForward:
		return fmt.Sprintf("send job %d, execution %d, to server %x for at most %d us", d.Request, d.Attempt, d.Server, d.Time)
	case CommandReject:
		return fmt.Sprintf("push back job %d for %d us", d.Request, d.Time)
	case CommandFail:
		return fmt.Sprintf("kill job %d", d.Request)
	case CommandCancelAttempt:
		return fmt.Sprintf("call off execution %d of job %d", d.Attempt, d.Request)
	case CommandLoad:
		return fmt.Sprintf("order server %x to hold %d copies of function %x for job %d", d.Server, d.Replicas, d.Function, d.Request)
	case CommandLog:
		return "note: " + d.Text
	case CommandSetTimer:
		return fmt.Sprintf("wake at %d", d.Time)
	}
	return word
}

// batch is the payload of a frame of turns.
type batch struct {
	_     struct{} `cbor:",toarray"`
	First uint64
	Turns []Step
}

// Tape turns a core's calls into turns. It is the part of the writer and of the comparison that runs within a turn. What
// turns hold is cut from a few large pieces: allocations of their own cost more than all else on the tape.
type Recorder struct {
	turn     Step
	OnStep   func(Step) // takes each finished turn
	news     []Event
	deeds    []Command
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
func (t *Recorder) StepEnded(now control.Micros) {
	t.turn.Clock = now
	turn := t.turn
	t.turn = Step{}
	t.OnStep(turn)
}

func (t *Recorder) heard(n Event) { t.turn.Events = add(&t.news, t.turn.Events, n) }
func (t *Recorder) did(d Command) { t.turn.Commands = add(&t.deeds, t.turn.Commands, d) }

// EndpointsUpdated notes a list of servers.
func (t *Recorder) EndpointsUpdated(kind control.UpdateKind, list []control.Endpoint) {
	t.heard(Event{Endpoints: &EndpointUpdate{kind, list}})
}

// RequestAdded notes a new job.
func (t *Recorder) RequestAdded(job control.Request) { t.heard(Event{Added: keep(&t.jobs, job)}) }

// Asked notes the client's id for the job that has just arrived, as a Tag.
func (t *Recorder) SetClientTag(request uint64) {
	t.turn.Events[len(t.turn.Events)-1].ClientTag = request
}

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
func (t *Recorder) AttemptEnded(id control.RequestID, o control.Outcome) {
	t.heard(Event{RequestID: id, Outcome: keep(&t.outcomes, o)})
}

// RequestCancelled notes that a client left.
func (t *Recorder) RequestCancelled(id control.RequestID) {
	t.heard(Event{RequestID: id, Cancelled: true})
}

// LoadEnded notes the answer to an order.
func (t *Recorder) LoadEnded(s control.ServerID, f control.FunctionID, result control.Result, took control.Micros, copies int) {
	t.heard(Event{LoadResult: &LoadResult{s, f, result, took, copies}})
}

// Forward and the others note what the core asked of its outlet.
func (t *Recorder) Forward(j *control.Request, no control.AttemptID, to control.ServerID, allow control.Micros) {
	t.did(Command{Kind: CommandForward, Request: j.ID, Attempt: no, Server: to, Time: allow})
}

// Reject notes a push back.
func (t *Recorder) Reject(id control.RequestID, stayAway control.Micros) {
	t.did(Command{Kind: CommandReject, Request: id, Time: stayAway})
}

// Fail notes a kill.
func (t *Recorder) Fail(id control.RequestID) { t.did(Command{Kind: CommandFail, Request: id}) }

// CancelAttempt notes an execution called off.
func (t *Recorder) CancelAttempt(id control.RequestID, no control.AttemptID) {
	t.did(Command{Kind: CommandCancelAttempt, Request: id, Attempt: no})
}

// Load notes an order to load.
func (t *Recorder) Load(j *control.Request, o control.LoadCommand) {
	t.did(Command{Kind: CommandLoad, Request: j.ID, Server: o.Server, Function: o.Function, Replicas: o.Replicas})
}

// SubscribeEndpoints notes the wish for changes of the list.
func (t *Recorder) SubscribeEndpoints() { t.did(Command{Kind: CommandSubscribe}) }

// LogServerEvent notes a change in a server's health.
func (t *Recorder) LogServerEvent(event control.ServerEvent) {
	t.did(Command{Kind: CommandLog, Text: event.String()})
}

// SetTimer notes the alarm.
func (t *Recorder) SetTimer(at control.Micros) { t.did(Command{Kind: CommandSetTimer, Time: at}) }

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

var _ core.Recorder = (*Recorder)(nil)
