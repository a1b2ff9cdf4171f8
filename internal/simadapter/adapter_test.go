package simadapter

import (
	"bytes"
	"encoding/binary"
	"path/filepath"
	"strings"
	"testing"

	"hollymast/internal/replay"
)

const settings = `{"balancers": 1, "tick": 4000, "classes": [{"aim": 1000000, "importance": 1, "semantics": "pure"}],
	"ceilings": {"try_limit": 3}, "specifics": {"when_absent": "load", "linger_idle": 9000000}}`

// encodeBatch encodes a frame of records with the given clock time.
func encodeBatch(number uint32, clock uint64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, number)
	b = binary.BigEndian.AppendUint32(b, uint32(20+len(body)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(records)))
	return append(binary.BigEndian.AppendUint64(b, clock), body...)
}

func encodeRecord(code uint16, fields ...any) []byte {
	b := binary.BigEndian.AppendUint16(nil, code)
	for _, f := range fields {
		b, _ = binary.Append(b, binary.BigEndian, f)
	}
	return b
}

func startRouter(text string) []byte {
	return append(encodeRecord(1000, uint64(1), uint32(len(text))), text...)
}

var (
	server    = []byte{10, 0, 0, 1, 27, 91}
	endpoints = encodeRecord(1010, uint8(0), uint64(1), uint32(1), uint8(2), uint16(0), float32(1), uint16(0), uint16(0), server, uint64(0))
	request   = encodeRecord(1020, uint64(5), uint16(0), uint16(0), uint64(7), uint32(4_000_000), uint32(0), float32(1), float32(2),
		float32(0), uint16(0))
)

func TestRunForwardsARequest(t *testing.T) {
	var out bytes.Buffer
	in := encodeBatch(1, 1000, encodeRecord(1110, uint32(3)), startRouter(settings), endpoints, request)
	if err := Run(bytes.NewReader(in), &out, ""); err != nil {
		t.Fatal(err)
	}
	reply := out.Bytes()
	want := append(encodeRecord(1090, uint32(3)), encodeRecord(1110, uint64(5), server, uint32(4_000_000))...)
	if len(reply) < 12 || binary.BigEndian.Uint32(reply) != 1 || !bytes.HasPrefix(reply[12:], want) {
		t.Errorf("got %x, want an attempt for request 5: %x", reply, want)
	}
}

// Rule 1: a request whose response had begun and was then cancelled still needs a final response.
func TestRunRetriesAfterABrokenResponse(t *testing.T) {
	var out bytes.Buffer
	in := append(encodeBatch(1, 1000, encodeRecord(1110, uint32(3)), startRouter(settings), endpoints, request),
		encodeBatch(2, 5000, encodeRecord(1110, uint32(3)),
			encodeRecord(1030, uint64(5), uint16(0), server, uint32(4000)),
			encodeRecord(1040, uint64(5), uint8(0), uint32(4000), uint16(0), uint8(0), uint16(70), server, uint8(0)))...)
	if err := Run(bytes.NewReader(in), &out, ""); err != nil {
		t.Fatal(err)
	}
	first := int(binary.BigEndian.Uint32(out.Bytes()[4:]))
	again := encodeRecord(1110, uint64(5), server)
	if second := out.Bytes()[first:]; !bytes.Contains(second, again) {
		t.Errorf("got %x, want another attempt %x", second, again)
	}
}

func TestRunIgnoresLateRecords(t *testing.T) {
	var out bytes.Buffer
	in := encodeBatch(1, 1000, encodeRecord(1110, uint32(3)), startRouter(settings), endpoints,
		encodeRecord(1050, uint64(99)),
		encodeRecord(1040, uint64(99), uint8(0), uint32(5), uint16(0), uint8(1), uint16(10), server, uint8(0)),
		encodeRecord(1070, []byte{9, 9, 9, 9, 0, 1}, uint16(50), uint32(5), uint8(0)),
		encodeRecord(1100, server, uint64(99), uint16(40), uint32(5), uint8(0)),
		encodeRecord(1060, uint32(0)))
	if err := Run(bytes.NewReader(in), &out, ""); err != nil {
		t.Errorf("got %v", err)
	}
}

func TestRunReportsBadInput(t *testing.T) {
	for name, c := range map[string]struct{ in, want string }{
		"settings":     {string(encodeBatch(4, 1, encodeRecord(1110, uint32(0)), startRouter("{"))), "batch 4: record 1 (code 1000) at byte 26: start settings:"},
		"no router":    {string(encodeBatch(4, 1, request)), "record before any router was selected"},
		"status":       {string(encodeBatch(4, 1, encodeRecord(1110, uint32(0)), encodeRecord(1070, server, uint16(11), uint32(0), uint8(0)))), "unknown status 11"},
		"class":        {string(encodeBatch(4, 1, encodeRecord(1110, uint32(3)), startRouter(settings), bytes.Replace(request, []byte{5, 0, 0}, []byte{5, 0, 9}, 1))), "unknown class 9"},
		"half a frame": {"\x00\x00\x00\x01\x00\x00\x00\x30", "truncated"},
	} {
		if err := Run(strings.NewReader(c.in), &bytes.Buffer{}, ""); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", name, err, c.want)
		}
	}
}

// A simulated day can be recorded and replayed in the same way as a gateway's steps.
func TestRunRecords(t *testing.T) {
	dir := t.TempDir()
	in := append(encodeBatch(1, 1000, encodeRecord(1110, uint32(3)), startRouter(settings), endpoints, request), encodeBatch(2, 5000, encodeRecord(1110, uint32(3)), encodeRecord(1060, uint32(0)))...)
	if err := Run(bytes.NewReader(in), &bytes.Buffer{}, dir); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.rec"))
	if err != nil || len(files) != 1 {
		t.Fatalf("%v, %v", files, err)
	}
	if a, err := replay.Play(files, replay.Options{}); err != nil || a.Steps != 2 || a.Commands < 2 {
		t.Errorf("%+v, %v", a, err)
	}
}
