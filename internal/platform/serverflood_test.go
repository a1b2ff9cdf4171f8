package platform

import (
	"net"
	"strings"
	"testing"
	"time"

	"hollymast/internal/platformtest"
)

// TestAnswersWithoutCallsAreBounded guards against a server that sends answers that nobody waits for at full speed: requests to other
// servers are answered in time, and the connection ends.
func TestAnswersWithoutCallsAreBounded(t *testing.T) {
	const (
		codeOK       = 97
		floodAnswers = 200_000
	)
	unsolicited := strings.Repeat(string(platformtest.AnswerFrame(codeOK, 0xffff, "remark=resident", nil)), 100)
	closed := make(chan struct{}, 64) // one for each connection
	flooding := listen(t, func(c net.Conn) {
		if _, err := platformtest.ReadFrame(c); err != nil {
			return
		}
		for range floodAnswers / 100 {
			if _, err := c.Write([]byte(unsolicited)); err != nil {
				closed <- struct{}{}
				return
			}
		}
		platformtest.ReadFrame(c) // until the router closes the connection
	})
	r, log := startLogged(t, func(*Router) {}, flooding, modelServer(t, echo))
	for number := range 8 { // one of these functions goes to the flooding server
		c := r.dial(t)
		begin := time.Now()
		c.sendRequest(number+1, "again", "lookup", strings.Repeat(string(rune('0'+number)), 16))
		if c.receive() != "closed" && time.Since(begin) > clientTimeout {
			t.Errorf("request %d was answered after %v", number+1, time.Since(begin))
		}
	}
	select {
	case <-closed:
	case <-time.After(4 * time.Second):
		t.Error("the flooding server's connection stays open")
	}
	if peaks := r.loop.TakeQueuePeaks(); peaks.Length > 10*maxUnhandledAnswers {
		t.Errorf("%d events were queued", peaks.Length)
	}
	r.stop()
	<-r.done
	if !strings.Contains(log.String(), serverCloseUnsolicited.String()) {
		t.Error("the close is not logged with its reason")
	}
}
