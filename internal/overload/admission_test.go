package overload

import (
	"hollymast/control"
	"testing"
)

// Refused calls are told times that spread out, within what clients heed.
func TestReturnsSpread(t *testing.T) {
	w, now := calm(t)
	now, _, _ = stretch(w, now, 1000*ms, 100, 500, 0, Request{})
	parts := map[control.Micros]int{}
	n := 0
	for i := range control.Micros(400) {
		v := w.Admit(now+i, Request{IsRetry: true})
		if v.Admitted {
			continue
		}
		if n++; v.RetryAfter <= 0 || v.RetryAfter > 2_000_000 || v.Reason == None {
			t.Fatalf("%+v", v)
		}
		parts[v.RetryAfter/100_000]++
	}
	most := 0
	for _, c := range parts {
		most = max(most, c)
	}
	if n < 300 || most > n/4 || len(parts) < 10 {
		t.Errorf("%d refused, %d within one tenth of a second, %d tenths", n, most, len(parts))
	}
}

// Who heeds the pause is let in, marked or not as a repeat; who comes sooner hears the same time again.
func TestHeededPauses(t *testing.T) {
	w, now := calm(t)
	now, _, _ = stretch(w, now, 1000*ms, 100, 500, 0, Request{})
	stay := w.RecordRejection(now, 1000*ms, 5)
	if v := w.Admit(now+stay/2, Request{IsRetry: true, KeyHash: 5}); v.Admitted || v.RetryAfter != stay-stay/2 {
		t.Errorf("came too soon: %+v of %d", v, stay)
	}
	if v := w.Admit(now+stay/2, Request{KeyHash: 5}); v.Admitted {
		t.Error("a repeat that is called none is let in")
	}
	if v := w.Admit(now+stay, Request{IsRetry: true, KeyHash: 5}); !v.Admitted {
		t.Errorf("came in time: %+v", v)
	}
}
