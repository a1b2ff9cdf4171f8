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
	if f := Server(context.Background(), s.Address(), options); !f.Ready || f.Run != nil || f.Load == nil || len(f.Models) != 0 {
		t.Errorf("got %+v", f)
	}
	if n := len(log.Records()); n != 0 {
		t.Errorf("the server saw %d things", n)
	}
	options.Model, options.Body = "m", []byte(`{"id":"p","inputs":[]}`)
	if f := Server(context.Background(), s.Address(), options); f.Run == nil || f.Run.Result != "finished" || !f.Run.MayHaveRun || f.Run.Status != 200 {
		t.Errorf("got %+v", f.Run)
	}
	options.Model = ""
	if f := Server(context.Background(), s.Address(), options); len(f.Models) != 1 || f.Models[0].Name != "m" || f.Models[0].State != "READY" {
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
		if f := Server(context.Background(), s.Address(), options); f.Run == nil || f.Run.Result != c.result || f.Run.MayHaveRun != c.mayRun {
			t.Errorf("%+v: got %+v", c.f, f.Run)
		}
	}
	s.Stop()
	if f := Server(context.Background(), s.Address(), options); f.Ready || f.Run != nil || f.Problem == "" {
		t.Errorf("gone: got %+v", f)
	}
}
