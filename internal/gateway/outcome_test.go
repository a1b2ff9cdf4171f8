package gateway

import (
	"hollymast/control"
	"hollymast/internal/rest"
	"testing"
)

func TestResults(t *testing.T) {
	for _, c := range []struct {
		order  bool
		status int
		want   control.Result
	}{{false, 200, control.Succeeded}, {false, 400, control.Succeeded}, {false, 503, control.Overloaded}, {false, 429, control.Overloaded},
		{false, 404, control.NotLoaded}, {false, 500, control.Failed}, {true, 400, control.Failed}, {true, 200, control.Succeeded}} {
		if got := OutcomeOf(&rest.Response{Status: c.status}, c.order); got.Result != c.want {
			t.Errorf("%d: got %v, want %v", c.status, got.Result, c.want)
		}
	}
}
