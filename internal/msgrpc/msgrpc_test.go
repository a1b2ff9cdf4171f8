package msgrpc

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func fields(changes ...string) map[string]string {
	f := map[string]string{"ref": "9b1f03aa5c7e2d41", "allow": "1500", "project": "acme", "lookup": "7f3a9c21e0b4d655",
		"spec": "memory_mb:512;lanes:2"}
	for i := 0; i < len(changes); i += 2 {
		f[changes[i]] = changes[i+1]
	}
	return f
}

func pack(t testing.TB, v ...any) []byte {
	t.Helper()
	b, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func call(t testing.TB, f map[string]string) []byte {
	return pack(t, 0, 7, "infer", []any{f, []byte{0, 255}})
}

func TestReadCall(t *testing.T) {
	r := NewReader(bytes.NewReader(call(t, fields("dup", "1", "replay", strings.Repeat("5c", 16)))))
	m, err := r.Read()
	if err != nil {
		t.Fatal(err)
	}
	req := m.Request
	if m.Kind != Call || m.Number != 7 || req.ID != 0x9b1f03aa5c7e2d41 || req.Class != "infer" || req.Tenant != "acme" ||
		!req.IsRetry || req.Timeout != 1_500_000 || req.Lanes != 2 || req.MemoryMB != 512 ||
		req.FunctionID() != 0x7f3a9c21e0b4d655 || !bytes.Equal(req.Body, []byte{0, 255}) {
		t.Errorf("got %+v", m)
	}
}

func TestReadCancelAndHealthCheck(t *testing.T) {
	in := append(pack(t, 2, "forget", []any{7}), pack(t, 0, 8, "isWell", []any{map[string]string{}})...)
	r := NewReader(bytes.NewReader(in))
	if m, err := r.Read(); err != nil || m.Kind != Cancel || m.Number != 7 {
		t.Errorf("got %+v, %v", m, err)
	}
	if m, err := r.Read(); err != nil || m.Kind != HealthCheck || m.Number != 8 {
		t.Errorf("got %+v, %v", m, err)
	}
}

// A message that was read to its end is answered, and what follows it can be read.
func TestWrongFieldsLeaveTheConnectionReadable(t *testing.T) {
	for name, value := range map[string]string{"ref": "9b1f", "lookup": "zzzz9c21e0b4d655", "allow": "NaN",
		"spec": "lanes:-2", "replay": "5c", "dup": "yes"} {
		r := NewReader(bytes.NewReader(append(call(t, fields(name, value)), call(t, fields())...)))
		_, err := r.Read()
		var f *MessageError
		if !errors.As(err, &f) || f.Unreadable || !f.Answerable || f.Number != 7 || !strings.HasPrefix(f.Text, name) {
			t.Errorf("%s: got %v", name, err)
		}
		if _, err := r.Read(); err != nil {
			t.Errorf("%s: the next message: %v", name, err)
		}
	}
}

func TestParseDecimal(t *testing.T) {
	for s, want := range map[string]bool{"1500": true, "0.5": true, "": false, "-1": false, "1e9": false, "Inf": false,
		"NaN": false, "0x10": false, "1.2.3": false, "99999999999999999999": false, " 1": false} {
		if _, ok := parseDecimal(s); ok != want {
			t.Errorf("%q: %v", s, ok)
		}
	}
}

// Lengths are rejected before anything is allocated.
func TestUnreadableMessages(t *testing.T) {
	head := []byte{0x94, 0, 7, 0xa5, 'i', 'n', 'f', 'e', 'r'}
	for name, in := range map[string][]byte{
		"noise":                   {0xc1, 0xff, 0x00},
		"a number":                {7},
		"an endless array":        {0xdd, 0xff, 0xff, 0xff, 0xff},
		"a negative number":       {0x94, 0, 0xff},
		"a number too large":      {0x94, 0, 0xcf, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"a long method":           {0x94, 0, 7, 0xdb, 0xff, 0xff, 0xff, 0xff},
		"an endless map":          append(bytes.Clone(head), 0x92, 0xdf, 0xff, 0xff, 0xff, 0xff),
		"a body of 4 GB":          append(bytes.Clone(head), 0x92, 0x80, 0xc6, 0xff, 0xff, 0xff, 0xff),
		"an unknown notification": {0x93, 2, 0xa1, 'x', 0x91, 7},
		"a nested array":          append(bytes.Clone(head), 0x92, 0x81, 0xa1, 'x', 0x91),
	} {
		_, err := NewReader(io.MultiReader(bytes.NewReader(in), neverRead{t, name})).Read()
		var f *MessageError
		if !errors.As(err, &f) || !f.Unreadable {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// neverRead fails the test if more is read than is needed to find the fault.
type neverRead struct {
	t    *testing.T
	name string
}

func (n neverRead) Read([]byte) (int, error) {
	n.t.Errorf("%s: more was read", n.name)
	return 0, io.EOF
}

func TestTruncatedAtEachByte(t *testing.T) {
	data := call(t, fields())
	for n := range data {
		if m, err := NewReader(bytes.NewReader(data[:n])).Read(); !errors.Is(err, io.EOF) &&
			!errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("after %d bytes: %+v, %v", n, m, err)
		}
	}
}

func TestResponses(t *testing.T) {
	for name, c := range map[string]struct {
		data []byte
		want []any
	}{
		"success":   {EncodeSuccess(7, []byte("x")), []any{1, 7, nil, []any{[]byte("x"), map[string]any{}}}},
		"rejection": {EncodeRejection(7, 1_500_500), []any{1, 7, []any{"TryLater", map[string]any{"cooldown": "1501"}}, nil}},
		"failure":   {EncodeFailure(7), []any{1, 7, []any{"Aborted", map[string]any{}}, nil}},
		"health":    {EncodeHealth(7, true), []any{1, 7, nil, []any{true, map[string]any{}}}},
	} {
		if want := pack(t, c.want...); !bytes.Equal(c.data, want) {
			t.Errorf("%s: got % x, want % x", name, c.data, want)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(call(f, fields()))
	f.Add(call(f, fields("allow", "-1")))
	f.Add(pack(f, 2, "forget", []any{7}))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in))
		for {
			m, err := r.Read()
			var fault *MessageError
			if err != nil && (!errors.As(err, &fault) || fault.Unreadable) {
				return
			}
			if m != nil && m.Kind == Call && (len(m.Request.Body) > MaxBody || m.Request.Timeout <= 0) {
				t.Errorf("accepted: %+v", m)
			}
		}
	})
}
