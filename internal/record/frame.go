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

// Version is the format's. A reader refuses newer ones and reads all older ones. Format 1 has no Requests.
const Version = 2

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

var decodeMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 20}.DecMode()

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
	payload, err := readBytes(payload, r, int(n))
	if err != nil || crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(head[4:]) {
		return ErrDamaged
	}
	plain, err := decoder.DecodeAll(payload, nil)
	if err != nil {
		return ErrDamaged
	}
	if err := decodeMode.Unmarshal(plain, v); err != nil {
		return fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	return nil
}

func readBytes(b []byte, r io.Reader, n int) ([]byte, error) {
	for len(b) < n {
		at := len(b)
		b = append(b, make([]byte, min(n-at, 1<<20))...)
		if _, err := io.ReadFull(r, b[at:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// batch is the payload of a frame of turns.
type stepBatch struct {
	_     struct{} `cbor:",toarray"`
	First uint64
	Steps []Step
}

// ErrNewer tells of a recording by a later version of this program.
var ErrNewer = errors.New("written by a newer version")
