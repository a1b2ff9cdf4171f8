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
	if report := CheckServer(context.Background(), s.Address(), options); !report.Ready || report.Request != nil || report.Load == nil || len(report.Models) != 0 {
		t.Errorf("got %+v", report)
	}
	if n := len(log.Records()); n != 0 {
		t.Errorf("the server recorded %d events", n)
	}
	options.Model, options.Body = "m", []byte(`{"id":"p","inputs":[]}`)
	if report := CheckServer(context.Background(), s.Address(), options); report.Request == nil || report.Request.Result != "finished" || !report.Request.MayHaveRun || report.Request.Status != 200 {
		t.Errorf("got %+v", report.Request)
	}
	options.Model = ""
	if report := CheckServer(context.Background(), s.Address(), options); len(report.Models) != 1 || report.Models[0].Name != "m" || report.Models[0].State != "READY" {
		t.Errorf("got %+v", report.Models)
	}
}

func TestProbeConcludesAsARouterWould(t *testing.T) {
	s, _ := startServer(t)
	options := Options{Timeout: 200 * time.Millisecond, Model: "m", Body: []byte(`{"id":"p","inputs":[]}`)}
	for _, c := range []struct {
		faults fakeserver.Faults
		result string
		mayRun bool
	}{{fakeserver.Faults{Overloaded: true}, "full", false}, {fakeserver.Faults{Unresponsive: true}, "timed out", true}, {fakeserver.Faults{ResetBefore: 1}, "reset", true}} {
		s.SetFaults(c.faults)
		if report := CheckServer(context.Background(), s.Address(), options); report.Request == nil || report.Request.Result != c.result || report.Request.MayHaveRun != c.mayRun {
			t.Errorf("%+v: got %+v", c.faults, report.Request)
		}
	}
	s.Stop()
	if report := CheckServer(context.Background(), s.Address(), options); report.Ready || report.Request != nil || report.Problem == "" {
		t.Errorf("stopped server: got %+v", report)
	}
}
