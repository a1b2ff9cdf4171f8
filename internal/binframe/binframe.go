// Package binframe implements the model servers' protocol: binary frames, read and written with limits on all lengths.
// Only this package knows the names and codes on the wire.
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

// ID identifies an attempt or a load command and its answer.
type ID uint64

const (
	magicToServer = 76
	magicToRouter = 108

	headerLength   = 16
	checksumLength = 4

	codeRequest = 65
	codeCancel  = 66
	codeLoad    = 69

	codeOK         = 97
	codeNotLoaded  = 99
	codeOverloaded = 100
	codeFailed     = 101
	codeNotRun     = 102
	codeHealth     = 103
	codeLoadReport = 104
)

// MaxBody is the largest body of an answer, in bytes: many times that of a request.
const MaxBody = 1 << 20

// Attempt is what is sent to a server for one attempt. Class, Function, IdempotencyKey and Body are as the client sent
// them.
type Attempt struct {
	ID             ID
	Class          string
	Function       string
	IdempotencyKey string // empty if there is none
	Timeout        control.Micros
	Body           []byte
}

// Frame returns the attempt as an encoded frame.
func (a *Attempt) Frame() []byte {
	var fields strings.Builder
	fields.WriteString("profile=")
	fields.WriteString(a.Class)
	fields.WriteString(",thing=")
	fields.WriteString(a.Function)
	fields.WriteString(",max=")
	fields.WriteString(strconv.FormatInt(max(1, int64(a.Timeout)/1000), 10))
	if a.IdempotencyKey != "" {
		fields.WriteString(",replay=")
		fields.WriteString(a.IdempotencyKey)
	}
	return encodeFrame(codeRequest, a.ID, fields.String(), a.Body)
}

// Size returns an upper bound of the length of Frame, in bytes.
func (a *Attempt) Size() int {
	const namesAndTimeout = 64 // the fields' names, and the longest timeout in milliseconds
	return headerLength + namesAndTimeout + len(a.Class) + len(a.Function) + len(a.IdempotencyKey) + len(a.Body) + checksumLength
}

// CancelFrame returns the frame that cancels an attempt.
func CancelFrame(id ID) []byte { return encodeFrame(codeCancel, id, "", nil) }

// LoadFrame returns the frame of a load command for a number of replicas; with 0 replicas it only asks how many there
// are.
func LoadFrame(id ID, function control.FunctionID, replicas int) []byte {
	return encodeFrame(codeLoad, id, fmt.Sprintf("thing=%016x,pods=%d", uint64(function), replicas), nil)
}

// encodeFrame returns a frame: header, fields, body, and the CRC-32 of fields and body.
func encodeFrame(code byte, id ID, fields string, body []byte) []byte {
	b := make([]byte, 0, headerLength+len(fields)+len(body)+checksumLength)
	b = append(b, magicToServer, code)
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, uint64(id))
	b = append(append(b, fields...), body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[headerLength:]))
}

// Answer is a server's answer to an attempt or a load command.
type Answer struct {
	ID          ID
	Result      control.Result
	CacheStatus control.CacheStatus
	Replicas    int                // number loaded, in the answer to a load command; -1 if not specified
	Reports     map[string]float64 // by the simulator's names; nil if there are none
	Body        []byte
	Probe       bool // neither the answer to an attempt nor to a load command
}

// Errors of an invalid answer, after which nothing on its connection can be read.
var (
	ErrMagic    = errors.New("wrong magic byte")
	ErrCode     = errors.New("unknown answer code")
	ErrLength   = errors.New("answer too long")
	ErrChecksum = errors.New("checksum mismatch")
)

// cacheStatuses are the values of the field "remark".
var cacheStatuses = map[string]control.CacheStatus{
	"resident":   control.CacheHit,
	"booted":     control.CacheMiss,
	"rode":       control.CacheLoading,
	"boot_error": control.CacheLoadFailed,
}

// Read reads one answer. It calls onFirstByte when the first byte has arrived. Its error is one of the above or that of
// the stream.
func Read(r *bufio.Reader, onFirstByte func()) (*Answer, error) {
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	onFirstByte()
	var header [headerLength]byte
	if _, err := io.ReadFull(r, header[:1]); err != nil {
		return nil, err
	}
	if header[0] != magicToRouter {
		return nil, ErrMagic
	}
	if _, err := io.ReadFull(r, header[1:]); err != nil {
		return nil, err
	}
	a := &Answer{ID: ID(binary.BigEndian.Uint64(header[8:])), Replicas: -1}
	switch header[1] {
	case codeOK:
		a.Result = control.Succeeded
	case codeNotLoaded:
		a.Result = control.NotLoaded
	case codeOverloaded:
		a.Result = control.Overloaded
	case codeFailed:
		a.Result = control.Failed
	case codeNotRun:
		a.Result = control.NotSent
	case codeHealth, codeLoadReport:
		a.Probe = true
	default:
		return nil, ErrCode
	}
	fields, body := int(binary.BigEndian.Uint16(header[2:])), binary.BigEndian.Uint32(header[4:])
	if body > MaxBody {
		return nil, ErrLength
	}
	rest, err := readChunked(r, fields+int(body)+checksumLength)
	if err != nil {
		return nil, err
	}
	end := fields + int(body)
	if crc32.ChecksumIEEE(rest[:end]) != binary.BigEndian.Uint32(rest[end:]) {
		return nil, ErrChecksum
	}
	a.setFields(string(rest[:fields]))
	a.Body = rest[fields:end:end]
	return a, nil
}

// readChunked reads n bytes. It allocates memory as the bytes arrive, since a claimed length may never be sent.
func readChunked(r *bufio.Reader, n int) ([]byte, error) {
	const chunk = 32 << 10 // more than the longest request body and its fields
	b := make([]byte, min(n, chunk))
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

// setFields sets the answer from its fields. Unknown fields and values are ignored.
func (a *Answer) setFields(fields string) {
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
