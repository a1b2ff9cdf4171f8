package overload

import (
	"testing"
)

// A storm does not become usual.
func TestStormsAreNotLearned(t *testing.T) {
	w, now := calm(t)
	before := w.baselineAttempts
	stretch(w, now, 60_000*ms, 300, 600, 50, Request{})
	if w.Kind() == None || w.baselineAttempts > before*1.2 {
		t.Errorf("%s, usual %g, before %g", w.Kind(), w.baselineAttempts, before)
	}
}
