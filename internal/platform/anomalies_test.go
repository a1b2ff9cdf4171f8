package platform

import "testing"

// The state line lists each kind once, or once for each detail if the kind has details, and the counts are reset
// afterwards.
func TestAnomalyCounts(t *testing.T) {
	var c anomalyCounts
	c.add(processStalled)
	c.addDetail(badMessage, "unknown class")
	c.add(processStalled)
	c.addDetail(corruptAnswer, "checksum mismatch")
	const want = "bad message: unknown class: 1; corrupt answer: checksum mismatch: 1; the process was stalled: 2"
	if got := c.take(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := c.take(); got != "" {
		t.Errorf("after the reset: got %q, want none", got)
	}
	for kind := range anomalyTexts {
		if anomaly(kind).String() == "" {
			t.Errorf("anomaly %d has no text", kind)
		}
	}
}
