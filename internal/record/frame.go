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

// Version is the format's. A reader refuses newer ones and reads all older ones. Format 1 has no client tags.
const Version = 2

// Errors of reading.
var (
	// ErrCorrupt says that a segment can't be read further, where more should follow.
	ErrCorrupt = errors.New("damaged or cut short")
	// ErrNewerVersion says that a later version of this program wrote the segment.
	ErrNewerVersion = errors.New("written by a newer version")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

const (
	// maxFrame bounds a frame, compressed or not: a checkpoint of many thousand functions fits.
	maxFrame = 256 << 20
	// readChunk is how much is allocated at a time while a frame is read, so that a damaged length costs no more than what follows it.
	readChunk = 1 << 20
	// frameHeaderBytes is the size of a frame's length and checksum.
	frameHeaderBytes = 8
)

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

// decodeMode limits what a damaged frame can make a reader allocate.
var decodeMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 20}.DecMode()

// readFrame reads a frame into v. The error is io.EOF at the regular end of a segment, else ErrDamaged.
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
		at := len(b)
		b = append(b, make([]byte, min(n-at, readChunk))...)
		if _, err := io.ReadFull(r, b[at:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// stepBatch is the payload of a frame of steps.
type stepBatch struct {
	_     struct{} `cbor:",toarray"`
	First uint64
	Steps []Step
}
