package platformtest

import (
	"encoding/binary"
	"hash/crc32"
	"io"
)

// The codes of frames sent to model servers.
const (
	AttemptCode = 65
	LoadCode    = 69
	codeOK      = 97 // in answers
)

// Frame is one frame sent to a model server.
type Frame struct {
	Code   byte
	ID     uint64
	Fields string
	Body   []byte
}

// ReadFrame reads one frame.
func ReadFrame(in io.Reader) (f Frame, err error) {
	const checksum = 4 // bytes after the body
	var head [16]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return f, err
	}
	fields := int(binary.BigEndian.Uint16(head[2:]))
	rest := make([]byte, fields+int(binary.BigEndian.Uint32(head[4:]))+checksum)
	if _, err := io.ReadFull(in, rest); err != nil {
		return f, err
	}
	return Frame{head[1], binary.BigEndian.Uint64(head[8:]), string(rest[:fields]), rest[fields : len(rest)-checksum]}, nil
}

// AnswerFrame returns the encoded answer of a model server.
func AnswerFrame(code byte, id uint64, fields string, body []byte) []byte {
	const magic = 108
	b := []byte{magic, code}
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	rest := append([]byte(fields), body...)
	return binary.BigEndian.AppendUint32(append(b, rest...), crc32.ChecksumIEEE(rest))
}
