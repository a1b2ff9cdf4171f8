package gateway

import (
	"testing"

	"hollymast/control"
	"hollymast/internal/rest"
)

func TestResultsOfStatuses(t *testing.T) {
	for status, want := range map[int]struct{ attempt, load control.Result }{
		200: {control.Succeeded, control.Succeeded},
		400: {control.Succeeded, control.Failed},
		404: {control.NotLoaded, control.NotLoaded},
		408: {control.Failed, control.Failed},
		429: {control.Overloaded, control.Overloaded},
		500: {control.Failed, control.Failed},
		503: {control.Overloaded, control.Overloaded},
	} {
		resp := &rest.Response{Status: status}
		if got := OutcomeOf(resp).Result; got != want.attempt {
			t.Errorf("%d: attempt: got %v, want %v", status, got, want.attempt)
		}
		if got := loadResult(resp); got != want.load {
			t.Errorf("%d: load command: got %v, want %v", status, got, want.load)
		}
	}
}
