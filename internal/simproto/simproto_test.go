package simproto

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
)

func mustDecodeHex(s string) []byte {
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		panic(err)
	}
	return b
}

// recordingHandler records the calls that a frame leads to.
type recordingHandler struct{ calls []string }

func (h *recordingHandler) add(format string, args ...any) error {
	h.calls = append(h.calls, fmt.Sprintf(format, args...))
	return nil
}
func (h *recordingHandler) SelectRouter(r uint32) error { return h.add("select %d", r) }
func (h *recordingHandler) StartRouter(seed uint64, info []byte) error {
	return h.add("start %d %s", seed, info)
}
func (h *recordingHandler) AddRequest(in Request) error               { return h.add("request %+v", in) }
func (h *recordingHandler) HandleAttemptResult(v AttemptResult) error { return h.add("result %+v", v) }
func (h *recordingHandler) CancelRequest(id uint64) error             { return h.add("cancel %x", id) }
func (h *recordingHandler) HandleTimer(mark uint32) error             { return h.add("timer %d", mark) }
func (h *recordingHandler) HandlePeerMessage(from uint32, msg []byte) error {
	return h.add("message %d %s", from, msg)
}
func (h *recordingHandler) StopRouter() error { return h.add("stop") }
func (h *recordingHandler) UpdateEndpoints(mode uint8, v uint64, es []Endpoint) error {
	return h.add("list %d %d %v", mode, v, es)
}
func (h *recordingHandler) HandleResponseHeader(id uint64, attempt uint16, s ServerAddr, duration uint32) error {
	return h.add("head %x %d %x %d", id, attempt, s, duration)
}
func (h *recordingHandler) HandleProbeResult(s ServerAddr, status uint16, duration uint32, load []float32) error {
	return h.add("probed %x %d %d %.3f", s, status, duration, load)
}
func (h *recordingHandler) HandleLoadResult(s ServerAddr, fn uint64, status uint16, duration uint32, replicas uint8) error {
	return h.add("loaded %x %x %d %d %d", s, fn, status, duration, replicas)
}

func frame(count byte, records string) []byte {
	body := mustDecodeHex(records)
	return append(append([]byte{0, 0, 0, 12, 0, 0, 0, byte(20 + len(body)), 0, 0, 0, count},
		mustDecodeHex("0000000000805c5a")...), body...)
}

// The records are the examples of the simulator's documentation; the wanted values were worked out from it by hand.
func TestDecode(t *testing.T) {
	for _, c := range []struct{ name, record, want string }{
		{"select router", "0456 00000003", "select 3"},
		{"start router", "03e8 0000000000000009 00000002 7b7d", "start 9 {}"},
		{"request", "03fc 000a7dd05d3a91c4 0000 0000 0000007c55d20a01 0003a980 00002ee0 43c00000 40000000 00000000 0001",
			"request {ID:2953083637895620 Class:0 Tenant:0 Function:534015773185 Timeout:240000 Work:12000 " +
				"MemoryMB:384 Lanes:2 LoadMS:0 Options:1}"},
		{"list", "03f2 00 0000000000000029 00000001 02 0000 3fc00000 0000 0000 0a9011f2 1b84 00000000005d1420",
			"list 0 41 [{2 0 1.5 0 0 [10 144 17 242 27 132] 6100000}]"},
		{"head", "0406 000a7dd05d3a91c4 0000 0a124a07 1b5b 00002422", "head a7dd05d3a91c4 0 0a124a071b5b 9250"},
		{"attempt result", "0410 000a7dd05d3a91c4 00 00004844 0000 01 000a 0a124a07 1b5b 01 3f000000",
			"result {ID:2953083637895620 Flags:0 Duration:18500 Attempt:0 RequestDone:true Status:10 " +
				"Server:[10 18 74 7 27 91] Load:[0.5]}"},
		{"cancel", "041a 00000c560e6f2b19", "cancel c560e6f2b19"},
		{"timer", "0424 0000004d", "timer 77"},
		{"probed", "042e 0a9011f2 1b84 000a 00000578 02 3f1eb852 3fa00000", "probed 0a9011f21b84 10 1400 [0.620 1.250]"},
		{"peer message", "0438 00000002 0004 68692037", "message 2 hi 7"},
		{"stop router", "0442", "stop"},
		{"loaded", "044c 0a9011f2 1b84 0000007c55d20a01 000a 0009c400 01", "loaded 0a9011f21b84 7c55d20a01 10 640000 1"},
	} {
		h := &recordingHandler{}
		if err := Decode(frame(1, c.record), h); err != nil || !reflect.DeepEqual(h.calls, []string{c.want}) {
			t.Errorf("%s: got %q, %v; want %q", c.name, h.calls, err, c.want)
		}
	}
}

func TestMalformedFrames(t *testing.T) {
	for _, c := range []struct {
		name  string
		frame []byte
		want  string
	}{
		{"record cut short", frame(1, "0456 0000"), "batch 12: record 0 (code 1110) at byte 20 is cut short"},
		{"unknown code", frame(1, "0001"), "batch 12: record 0 (code 1) at byte 20: unknown record code"},
		{"bytes left over", frame(0, "0442"), "batch 12: 2 bytes left over after the last record"},
		{"entries beyond the frame", frame(1, "03f2 01 0000000000000001 ffffffff"),
			"batch 12: record 0 (code 1010) at byte 20 is cut short"},
	} {
		err := Decode(c.frame, &recordingHandler{})
		if err == nil || err.Error() != c.want {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
		if truncated := strings.HasSuffix(c.want, "cut short"); errors.Is(err, ErrTruncated) != truncated {
			t.Errorf("%s: %v is ErrTruncated: %t", c.name, err, !truncated)
		}
	}
}

func TestReadFrame(t *testing.T) {
	whole := frame(1, "0442")
	if got, err := ReadFrame(bytes.NewReader(whole), nil); err != nil || !bytes.Equal(got, whole) {
		t.Errorf("got %x, %v", got, err)
	}
	if _, err := ReadFrame(bytes.NewReader(nil), nil); err != io.EOF {
		t.Errorf("end of input: got %v", err)
	}
	if _, err := ReadFrame(bytes.NewReader(whole[:15]), nil); !errors.Is(err, ErrTruncated) || errors.Is(err, io.EOF) {
		t.Errorf("cut frame: got %v", err)
	}
}

func TestCommands(t *testing.T) {
	s := ServerAddr{0x0a, 0x12, 0x4a, 0x07, 0x1b, 0x5b}
	const id, fn = 0x000a7dd05d3a91c4, 0x7c55d20a01
	var commands Commands
	commands.SelectRouter(3)
	commands.StartAttempt(id, s, 80000)
	commands.SetTimer(0x87fd7a, 77)
	commands.CancelAttempt(id, 0)
	commands.Reject(id, 250000)
	commands.Fail(id)
	commands.Probe(s)
	commands.CloseIdle(s)
	commands.SendToPeer(0xffff, []byte("hi 7"))
	commands.Load(s, fn, 1)
	commands.Unload(s, fn)
	commands.SubscribeEndpoints()
	commands.RequestEndpoints()
	commands.Log("ok")
	commands.ReportFailure("no")
	want := mustDecodeHex(`0000000c 000000c4 0000000f
		0442 00000003  0456 000a7dd05d3a91c4 0a124a07 1b5b 00013880  03fc 000000000087fd7a 0000004d
		03f2 000a7dd05d3a91c4 0000  0410 000a7dd05d3a91c4 0003d090  0474 000a7dd05d3a91c4
		046a 0a124a07 1b5b  03e8 0a124a07 1b5b  0438 ffff 0004 68692037
		042e 0a124a07 1b5b 0000007c55d20a01 01  0460 0a124a07 1b5b 0000007c55d20a01
		0406 01  0424  041a 0002 6f6b  044c 0002 6e6f`)
	want[7] = byte(len(want))
	if got := EncodeFrame(nil, 12, []*Commands{&commands}); !bytes.Equal(got, want) {
		t.Errorf("got\n%x, want\n%x", got, want)
	}
}

func TestBootInfo(t *testing.T) {
	if _, err := ParseBootInfo([]byte(`{"balancers": 2, "classes": [{"aim": 5}], "unknown": 1}`)); err != nil {
		t.Errorf("unknown keys are an error: %v", err)
	}
	for _, bad := range []string{"", "{", `{"balancers": 2}`, `{"classes": [{}]}`} {
		if _, err := ParseBootInfo([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
