package control

import "testing"

// The stored form of an event is the one in existing recordings, and is parsed again.
func TestServerEventText(t *testing.T) {
	for text, event := range map[string]ServerEvent{
		"server 1f is suspect: owes answers":               {Server: 0x1f, Kind: ServerEjected, Cause: AnswersOverdue},
		"server 7f0000012329 is suspect: connections fail": {Server: 0x7f0000012329, Kind: ServerEjected, Cause: ConnectionsFail},
		"server 1f answers again":                          {Server: 0x1f, Kind: ServerReadmitted},
	} {
		if got := event.String(); got != text {
			t.Errorf("formatted as %q, want %q", got, text)
		}
		if got, err := ParseServerEvent(text); err != nil || got != event {
			t.Errorf("%q parsed as %+v, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "server", "server 1f", "server xyz answers again", "server 1f is suspect: else", "server 1f answers again and again"} {
		if e, err := ParseServerEvent(text); err == nil {
			t.Errorf("%q parsed as %+v", text, e)
		}
	}
}
