package probe

import (
	"context"
	"testing"
	"time"

	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
)

func startServer(t *testing.T) (*fakeserver.Server, *invariant.Log) {
	log := invariant.NewLog()
	s := fakeserver.New(fakeserver.Config{MaxReplicas: 4, Lanes: 1, Cores: 2, ExecutionTime: time.Millisecond, QueueLimit: 4, LoadTime: time.Millisecond, MaxConcurrentLoads: 2, DedupWindow: time.Second},
		fakeserver.NewStore(time.Millisecond, 2), log)
	if err := s.Start(false); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s, log
}

func TestProbeRunsNothingUnlessAModelIsNamed(t *testing.T) {
	s, log := startServer(t)
	options := Options{Timeout: time.Second}
	if f := CheckServer(context.Background(), s.Address(), options); !f.Ready || f.Request != nil || f.Load == nil || len(f.Models) != 0 {
		t.Errorf("got %+v", f)
	}
	if n := len(log.Records()); n != 0 {
		t.Errorf("the server saw %d things", n)
	}
	options.Model, options.Body = "m", []byte(`{"id":"p","inputs":[]}`)
	if f := CheckServer(context.Background(), s.Address(), options); f.Request == nil || f.Request.Result != "finished" || !f.Request.MayHaveRun || f.Request.Status != 200 {
		t.Errorf("got %+v", f.Request)
	}
	options.Model = ""
	if f := CheckServer(context.Background(), s.Address(), options); len(f.Models) != 1 || f.Models[0].Name != "m" || f.Models[0].State != "READY" {
		t.Errorf("got %+v", f.Models)
	}
}

func TestProbeConcludesAsARouterWould(t *testing.T) {
	s, _ := startServer(t)
	options := Options{Timeout: 200 * time.Millisecond, Model: "m", Body: []byte(`{"id":"p","inputs":[]}`)}
	for _, c := range []struct {
		f      fakeserver.Faults
		result string
		mayRun bool
	}{{fakeserver.Faults{Overloaded: true}, "full", false}, {fakeserver.Faults{Unresponsive: true}, "timed out", true}, {fakeserver.Faults{ResetBefore: 1}, "reset", true}} {
		s.SetFaults(c.f)
		if f := CheckServer(context.Background(), s.Address(), options); f.Request == nil || f.Request.Result != c.result || f.Request.MayHaveRun != c.mayRun {
			t.Errorf("%+v: got %+v", c.f, f.Request)
		}
	}
	s.Stop()
	if f := CheckServer(context.Background(), s.Address(), options); f.Ready || f.Request != nil || f.Problem == "" {
		t.Errorf("gone: got %+v", f)
	}
}
