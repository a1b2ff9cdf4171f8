package binframe

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"testing"

	"hollymast/control"
)

// encodeAnswer encodes a server's answer.
func encodeAnswer(code byte, id uint64, fields string, body []byte) []byte {
	b := []byte{magicToRouter, code}
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	rest := append([]byte(fields), body...)
	return binary.BigEndian.AppendUint32(append(b, rest...), crc32.ChecksumIEEE(rest))
}

func readBytes(in []byte) (*Answer, error) {
	return Read(bufio.NewReader(bytes.NewReader(in)), func() {})
}

func TestAttemptFrame(t *testing.T) {
	a := Attempt{ID: 0x9b1f03aa5c7e2d41, Class: "infer", Function: "7f3a9c21e0b4d655", IdempotencyKey: "aa",
		Timeout: 1_500_999, Body: []byte("xyz")}
	fields := "profile=infer,thing=7f3a9c21e0b4d655,max=1500,replay=aa"
	want := encodeAnswer(codeRequest, uint64(a.ID), fields, a.Body)
	want[0] = magicToServer
	if got := a.Frame(); !bytes.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestLoadFrame(t *testing.T) {
	want := encodeAnswer(codeLoad, 5, "thing=00000000000000ff,pods=2", nil)
	want[0] = magicToServer
	if got := LoadFrame(5, 0xff, 2); !bytes.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestReadAnswers(t *testing.T) {
	for code, want := range map[byte]control.Result{codeOK: control.Succeeded, codeNotLoaded: control.NotLoaded,
		codeOverloaded: control.Overloaded, codeFailed: control.Failed, codeNotRun: control.NotSent} {
		a, err := readBytes(encodeAnswer(code, 7, "remark=rode,pods=3,report=inflight:7;util:0.61", []byte("x")))
		if err != nil || a.ID != 7 || a.Result != want || a.CacheStatus != control.CacheLoading || a.Replicas != 3 ||
			a.Reports["util"] != 0.61 || string(a.Body) != "x" {
			t.Errorf("code %d: %+v, %v", code, a, err)
		}
	}
}

func TestCorruptAnswers(t *testing.T) {
	good := encodeAnswer(codeOK, 7, "remark=resident", []byte("body"))
	for name, test := range map[string]struct {
		at   int
		put  []byte
		want error
	}{
		"magic":  {0, []byte{1}, ErrMagic},
		"code":   {1, []byte{1}, ErrCode},
		"3 GB":   {4, []byte{0xc0, 0, 0, 0}, ErrLength},
		"body":   {len(good) - 6, []byte{0}, ErrChecksum},
		"fields": {18, []byte{0}, ErrChecksum},
	} {
		in := bytes.Clone(good)
		copy(in[test.at:], test.put)
		if _, err := readBytes(in); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", name, err, test.want)
		}
	}
}

func TestTruncatedAtEachByte(t *testing.T) {
	good := encodeAnswer(codeOK, 7, "remark=resident", []byte("body"))
	for n := range good {
		if _, err := readBytes(good[:n]); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("after %d bytes: %v", n, err)
		}
	}
}

// A large claimed length allocates little more than the bytes that arrive.
func TestClaimedLengthCostsLittle(t *testing.T) {
	truncated := encodeAnswer(codeOK, 7, "", nil)
	binary.BigEndian.PutUint32(truncated[4:], MaxBody)
	r := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			readBytes(truncated[:headerLength])
		}
	})
	if r.AllocedBytesPerOp() > 64<<10 {
		t.Errorf("%d bytes were allocated for a header", r.AllocedBytesPerOp())
	}
}

func FuzzRead(f *testing.F) {
	f.Add(encodeAnswer(codeOK, 7, "remark=resident", []byte("body")))
	f.Add(encodeAnswer(codeLoadReport, 7, "report=util:NaN;x:", nil))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bufio.NewReader(bytes.NewReader(in))
		for {
			a, err := Read(r, func() {})
			if err != nil {
				return
			}
			if len(a.Body) > MaxBody {
				t.Errorf("%d bytes", len(a.Body))
			}
		}
	})
}

// Size is an upper bound of the length of a frame.
func TestSizeBoundsFrame(t *testing.T) {
	a := Attempt{ID: 1, Class: "infer", Function: "7f3a9c21e0b4d655", IdempotencyKey: "aa", Timeout: 1 << 62,
		Body: []byte("xyz")}
	if got := len(a.Frame()); got > a.Size() {
		t.Errorf("%d bytes, at most %d expected", got, a.Size())
	}
}
