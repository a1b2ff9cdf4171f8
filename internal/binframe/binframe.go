// Package binframe is the model servers' protocol: binary frames, read and written within bounds. Names and codes on the
// wire end here.
package binframe

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"strconv"
	"strings"

	"hollymast/control"
)

// ID is a frame's id: that of a job, or of an order.
type ID uint64

const (
	markFromRouter = 76
	markFromServer = 108

	headLength = 16
	checkBytes = 4

	codeRequest = 65
	codeGiveUp  = 66
	codeLoad    = 69

	codeOK      = 97
	codeMiss    = 99
	codeFull    = 100
	codeError   = 101
	codeOver    = 102
	codeUp      = 103
	codeReports = 104
)

// MaxBody is the largest answer that is taken: many times what jobs bring with them.
const MaxBody = 1 << 20

// Attempt is what a server is told of one execution. What a client sent passes on as it came.
type Attempt struct {
	ID             ID
	Class          string
	Function       string
	IdempotencyKey string // empty: none
	Timeout        control.Micros
	Body           []byte
}

// Frame gives the bytes.
func (x *Attempt) Frame() []byte {
	var fields strings.Builder
	fields.WriteString("profile=")
	fields.WriteString(x.Class)
	fields.WriteString(",thing=")
	fields.WriteString(x.Function)
	fields.WriteString(",max=")
	fields.WriteString(strconv.FormatInt(max(1, int64(x.Timeout)/1000), 10))
	if x.IdempotencyKey != "" {
		fields.WriteString(",replay=")
		fields.WriteString(x.IdempotencyKey)
	}
	return frame(codeRequest, x.ID, fields.String(), x.Body)
}

// Size is how many bytes Frame gives, at most.
func (x *Attempt) Size() int {
	const namesAndFigure = 64 // the fields' names, and the longest time in milliseconds
	return headLength + namesAndFigure + len(x.Class) + len(x.Function) + len(x.IdempotencyKey) + len(x.Body) + checkBytes
}

// CancelFrame tells a server that an execution is not waited for.
func CancelFrame(id ID) []byte { return frame(codeGiveUp, id, "", nil) }

// LoadFrame tells a server to hold copies of a function; with none it only asks.
func LoadFrame(id ID, function control.FunctionID, copies int) []byte {
	return frame(codeLoad, id, fmt.Sprintf("thing=%016x,pods=%d", uint64(function), copies), nil)
}

func frame(code byte, id ID, fields string, body []byte) []byte {
	b := make([]byte, 0, headLength+len(fields)+len(body)+checkBytes)
	b = append(b, markFromRouter, code)
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, uint64(id))
	b = append(append(b, fields...), body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[headLength:]))
}

// Answer is a server's answer to an execution or an order.
type Answer struct {
	ID          ID
	Result      control.Result
	CacheStatus control.CacheStatus
	Replicas    int                // that stand, of an order; -1: not told
	Reports     map[string]float64 // by the simulator's names; nil: none
	Body        []byte
	Probe       bool // answers no execution and no order
}

// Errors of an answer that can't be believed: nothing after it on its connection can be either.
var (
	ErrMark   = errors.New("not an answer's mark")
	ErrCode   = errors.New("unknown code of an answer")
	ErrLength = errors.New("an answer over the bound")
	ErrCheck  = errors.New("an answer's check does not match")
)

var cacheStatuses = map[string]control.CacheStatus{
	"resident": control.CacheHit, "booted": control.CacheMiss, "rode": control.CacheLoading, "boot_error": control.CacheLoadFailed,
}

// Read reads one answer. Begun is called when its first byte is here.
func Read(r *bufio.Reader, begun func()) (*Answer, error) {
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	begun()
	var head [headLength]byte
	if _, err := io.ReadFull(r, head[:1]); err != nil {
		return nil, err
	}
	if head[0] != markFromServer {
		return nil, ErrMark
	}
	if _, err := io.ReadFull(r, head[1:]); err != nil {
		return nil, err
	}
	a := &Answer{ID: ID(binary.BigEndian.Uint64(head[8:])), Replicas: -1}
	switch head[1] {
	case codeOK:
		a.Result = control.Succeeded
	case codeMiss:
		a.Result = control.NotLoaded
	case codeFull:
		a.Result = control.Overloaded
	case codeError:
		a.Result = control.Failed
	case codeOver:
		a.Result = control.NotSent
	case codeUp, codeReports:
		a.Probe = true
	default:
		return nil, ErrCode
	}
	fields, body := int(binary.BigEndian.Uint16(head[2:])), binary.BigEndian.Uint32(head[4:])
	if body > MaxBody {
		return nil, ErrLength
	}
	rest, err := read(r, fields+int(body)+checkBytes)
	if err != nil {
		return nil, err
	}
	end := fields + int(body)
	if crc32.ChecksumIEEE(rest[:end]) != binary.BigEndian.Uint32(rest[end:]) {
		return nil, ErrCheck
	}
	a.tell(string(rest[:fields]))
	a.Body = rest[fields:end:end]
	return a, nil
}

// read reads n bytes. Guards against a length that is only claimed: room is made as they come.
func read(r *bufio.Reader, n int) ([]byte, error) {
	const step = 32 << 10 // an answer as long as the longest body, and its fields
	b := make([]byte, min(n, step))
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	for len(b) < n {
		more := min(n-len(b), len(b))
		b = append(b, make([]byte, more)...)
		if _, err := io.ReadFull(r, b[len(b)-more:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (a *Answer) tell(fields string) {
	for field := range strings.SplitSeq(fields, ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "remark":
			a.CacheStatus = cacheStatuses[value]
		case "pods":
			if n, err := strconv.Atoi(value); err == nil && n >= 0 {
				a.Replicas = n
			}
		case "report":
			a.Reports = map[string]float64{}
			for pair := range strings.SplitSeq(value, ";") {
				name, text, _ := strings.Cut(pair, ":")
				if v, err := strconv.ParseFloat(text, 64); err == nil {
					a.Reports[name] = v
				}
			}
		}
	}
}
