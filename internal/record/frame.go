package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const magic = "hollymast recording\n"

// Version is the version of the format. Newer versions are rejected, all older ones can be read. Format 1 has no hashes of client ids.
const Version = 2

// Errors of reading a segment.
var (
	// ErrCorrupt means that a segment is truncated or has an invalid frame.
	ErrCorrupt = errors.New("corrupt or truncated")
	// ErrNewerVersion means that a later version of this program wrote the segment.
	ErrNewerVersion = errors.New("written by a newer version")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

const (
	// maxFrame limits the size of a frame, both compressed and uncompressed. A checkpoint with many thousands of functions fits.
	maxFrame = 256 << 20
	// readChunk is how much memory is allocated at a time while a frame is read, so that a corrupt length makes a reader allocate no more
	// than the file holds.
	readChunk = 1 << 20
	// frameHeaderBytes is the size of a frame's length and checksum.
	frameHeaderBytes = 8
)

// The EncodeAll and DecodeAll methods of encoder and decoder are safe for concurrent use.
var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxFrame), zstd.WithDecoderConcurrency(1))
)

// appendFrame encodes v as a frame and appends it.
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

// decodeMode limits how much memory a corrupt frame can make a reader allocate.
var decodeMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 20}.DecMode()

// readFrame reads a frame into v. The error is io.EOF at the regular end of a segment, otherwise ErrCorrupt.
func readFrame(r io.Reader, v any) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); errors.Is(err, io.EOF) {
		return io.EOF
	} else if err != nil {
		return ErrCorrupt
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrame {
		return ErrCorrupt
	}
	payload, err := readBytes(r, int(n))
	if err != nil || crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(header[4:]) {
		return ErrCorrupt
	}
	plain, err := decoder.DecodeAll(payload, nil)
	if err != nil {
		return ErrCorrupt
	}
	if err := decodeMode.Unmarshal(plain, v); err != nil {
		return fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	return nil
}

func readBytes(r io.Reader, n int) ([]byte, error) {
	b := make([]byte, 0, min(n, readChunk))
	for len(b) < n {
		offset := len(b)
		b = append(b, make([]byte, min(n-offset, readChunk))...)
		if _, err := io.ReadFull(r, b[offset:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// stepBatch is the payload of a frame of steps. First is the number of the first step.
type stepBatch struct {
	_     struct{} `cbor:",toarray"`
	First uint64
	Steps []Step
}
