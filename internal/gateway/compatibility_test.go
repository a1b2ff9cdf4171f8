package gateway

import (
	"slices"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/inifile"
	"hollymast/internal/persistence"
)

// Settings of deployed routers stay valid, key by key, and keep their meaning.
func TestSettingsStayValid(t *testing.T) {
	f, err := inifile.Load("testdata/settings-1.ini")
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseConfig(f)
	if err != nil {
		t.Fatal(err)
	}
	d := got.Deployment
	for name, holds := range map[string]bool{
		"router":   got.Listen == "127.0.0.1:8080" && got.EndpointFile == "servers.ini" && got.Seed == 7 && got.LogLevel == "warn" && d.Routers == 3 && d.RouterIndex == 2,
		"servers":  d.MaxAttempts == 4 && d.SlowStartInitial == 0.3 && d.SlowStartDuration == 11_000_000 && d.LoadRateBase == 5 && got.GracePeriod == 600*time.Millisecond,
		"clients":  !d.ClientsMarkRetries && d.MaxRetryAfter == 3_000_000 && !got.DampOverload && got.AnswerMargin == 21*time.Millisecond,
		"bounds":   got.MaxClientConns == 20001 && got.MaxConnsPerServer == 257 && got.DialTimeout == 2*time.Second && got.BodyTimeout == 11*time.Second,
		"record":   got.RecordDir == "rec" && got.RecordBounds.SegmentBytes == 67108865 && got.RecordBounds.SegmentAge == 11*time.Minute,
		"memory":   got.StateDir == "memory" && got.KeyRetention == 11*time.Minute && got.JournalSync == persistence.SyncEach && got.MaxHistoryRows == 200001,
		"workload": d.Classes[0] == control.Class{LatencyObjective: 2_000_000, MaxDeadline: 11_000_000, ObjectivePerExecTime: 1.5, Idempotency: control.IdempotentByKey, DedupScope: control.OneZone, DedupWindow: 6_000_000},
		"function": got.Functions[0] == Pattern{Glob: "*", Lanes: 2, Work: 70_000, LoadTime: 2_000_000},
		"tenant":   slices.Equal(got.TenantNames, []string{"portal"}) && d.Quotas[0] == 50,
	} {
		if !holds {
			t.Errorf("[%s] is read as something else: %+v", name, got)
		}
	}
}

// Dashboards and alerts name metrics and labels: these stay the same.
func TestMetricNames(t *testing.T) {
	m := newMetrics()
	m.countAnswer("finished")
	m.overloadRejections.WithLabelValues("x").Inc()
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{} // first label by name
	for _, f := range families {
		label := ""
		if labels := f.GetMetric()[0].GetLabel(); len(labels) > 0 {
			label = labels[0].GetName()
		}
		got[f.GetName()] = label
	}
	for name, label := range map[string]string{
		"hollymast_jobs_total": "answer", "hollymast_executions_total": "result", "hollymast_jobs_in_hand": "", "hollymast_jobs_held": "",
		"hollymast_servers_ready": "", "hollymast_orders_total": "", "hollymast_loads_total": "", "hollymast_storm_refused_total": "kind",
		"hollymast_storm": "", "hollymast_late_answers_total": "", "hollymast_connections_turned_away_total": "", "hollymast_turn_seconds": "",
	} {
		if was, ok := got[name]; !ok || was != label {
			t.Errorf("metric %s with label %q: there %t, label %q", name, label, ok, was)
		}
	}
	want := []string{"finished", "errored", "full", "timed out", "no connection", "reset", "cancelled", "never sent", "missing"}
	if !slices.Equal(resultNames[:], want) {
		t.Errorf("values of result: %q", resultNames)
	}
}
