package invariant

import (
	"sync"
	"testing"
)

const second = 1_000_000

func testConfig() Config {
	return Config{Classes: map[string]Class{"ticket": {NonIdempotent: true}, "booking": {IdempotentByKey: true, Scope: "fleet", Window: 5 * second},
		"label": {IdempotentByKey: true, Scope: "zone", Window: 5 * second}}, Zone: []string{"a", "b", "a"}, Cell: []string{"a", "b", "a"},
		DrainGrace: second / 2, SlowStartDuration: 4 * second, SlowStartInitial: 0.25, OverloadWindow: second, OverloadFactor: 2, ServerRate: 8,
		LoadRateWindow: 4 * second, LoadRateBase: 1, LoadRatePerRequest: 0.5, MaxNetworkDelay: 50_000}
}

// at returns a record, at a time in milliseconds, of a request of a workload or of a published endpoint.
func at(ms int64, k Kind, workload string, server int, detail string) Record {
	if k == EndpointPublished {
		return Record{At: ms * 1000, Kind: k, Server: server, Detail: detail}
	}
	return Record{At: ms * 1000, Kind: k, Request: "j", Effect: "e", Workload: workload, Server: server, Detail: detail, Deadline: 3 * second}
}

// successfulRequest returns the records of a successful request of a workload.
func successfulRequest(workload string) []Record {
	return []Record{at(0, RequestSent, workload, 0, ""), at(10, AttemptReceived, workload, 0, ""), at(10, AttemptStarted, workload, 0, ""),
		at(60, AttemptEnded, workload, 0, ""), at(70, ResponseReceived, workload, 0, Succeeded)}
}

// Checks that violations of each rule are found, and that no violation is reported for records that obey all rules.
func TestViolationsAreFound(t *testing.T) {
	slowStart := []Record{{At: 0, Kind: ServerStarted, Server: 1}}
	for i := range int64(5) { // the server's budget is 4 per window at its start
		slowStart = append(slowStart, Record{At: 1000 + i, Kind: AttemptReceived, Server: 1})
	}
	for name, c := range map[string]struct {
		rule    int // number of the violated rule; 0: none
		records []Record
	}{
		"succeeded":                {0, successfulRequest("ticket")},
		"no answer":                {1, []Record{at(0, RequestSent, "ticket", 0, ""), at(3300, RequestTimedOut, "ticket", 0, "")}},
		"two answers":              {1, append(successfulRequest("ticket"), at(80, ResponseReceived, "ticket", 0, Failed))},
		"late answer":              {1, []Record{at(0, RequestSent, "ticket", 0, ""), at(3001, ResponseReceived, "ticket", 0, Failed)}},
		"attempt after its end":    {1, append(successfulRequest("forecast"), at(200, AttemptReceived, "forecast", 1, ""))},
		"success without a server": {1, []Record{at(0, RequestSent, "ticket", 0, ""), at(70, ResponseReceived, "ticket", 0, Succeeded)}},
		"no client sent it":        {1, []Record{at(10, AttemptReceived, "ticket", 0, "")}},
		"router down": {0, []Record{{At: second, Kind: RouterDown}, at(1500, RequestSent, "ticket", 0, ""), at(3300, RequestTimedOut, "ticket", 0, ""),
			{At: 9 * second, Kind: RouterUp}}},
		"router down before": {1, []Record{{At: 0, Kind: RouterDown}, {At: second, Kind: RouterUp}, at(1500, RequestSent, "ticket", 0, ""),
			at(3300, RequestTimedOut, "ticket", 0, "")}},
		"abandoned": {0, []Record{at(0, RequestSent, "ticket", 0, ""), at(10, RequestAbandoned, "ticket", 0, "")}},

		"non-idempotent, run twice": {2, []Record{at(0, RequestSent, "ticket", 0, ""), at(10, AttemptReceived, "ticket", 0, ""), at(10, AttemptStarted, "ticket", 0, ""),
			at(20, AttemptReceived, "ticket", 1, ""), at(20, AttemptStarted, "ticket", 1, ""), at(70, ResponseReceived, "ticket", 0, Succeeded)}},
		"non-idempotent, after a refusal": {0, []Record{at(0, RequestSent, "ticket", 0, ""), at(10, AttemptReceived, "ticket", 0, ""), at(10, AttemptRefused, "ticket", 0, ""),
			at(20, AttemptReceived, "ticket", 1, ""), at(20, AttemptStarted, "ticket", 1, ""), at(70, ResponseReceived, "ticket", 0, Succeeded)}},
		"non-idempotent, rejected": {2, []Record{at(0, RequestSent, "ticket", 0, ""), at(10, AttemptReceived, "ticket", 0, ""), at(10, AttemptStarted, "ticket", 0, ""),
			at(70, ResponseReceived, "ticket", 0, Rejected)}},
		"past the window": {2, []Record{{At: 0, Kind: RequestSent, Request: "j", Effect: "e", Workload: "booking", Deadline: 9 * second},
			at(10, AttemptReceived, "booking", 0, ""), at(10, AttemptStarted, "booking", 0, ""), at(5100, AttemptReceived, "booking", 1, ""),
			at(5200, ResponseReceived, "booking", 0, Rejected)}},
		"within the window": {0, []Record{at(0, RequestSent, "booking", 0, ""), at(10, AttemptReceived, "booking", 0, ""), at(10, AttemptStarted, "booking", 0, ""),
			at(2000, AttemptReceived, "booking", 1, ""), at(2100, ResponseReceived, "booking", 0, Succeeded)}},
		"outside the scope": {2, []Record{at(0, RequestSent, "label", 0, ""), at(10, AttemptReceived, "label", 0, ""), at(10, AttemptStarted, "label", 0, ""),
			at(2000, AttemptReceived, "label", 1, ""), at(2100, ResponseReceived, "label", 0, Succeeded)}},
		"inside the scope": {0, []Record{at(0, RequestSent, "label", 0, ""), at(10, AttemptReceived, "label", 0, ""), at(10, AttemptStarted, "label", 0, ""),
			at(2000, AttemptReceived, "label", 2, ""), at(2100, ResponseReceived, "label", 0, Succeeded)}},

		"request to a draining server":       {3, append([]Record{at(-600, EndpointPublished, "", 0, "draining")}, successfulRequest("forecast")...)},
		"within the grace":                   {0, append([]Record{at(-400, EndpointPublished, "", 0, "draining")}, successfulRequest("forecast")...)},
		"ready again":                        {0, append([]Record{at(-600, EndpointPublished, "", 0, "gone"), at(-1, EndpointPublished, "", 0, "ready")}, successfulRequest("forecast")...)},
		"load command to a withdrawn server": {3, []Record{at(0, EndpointPublished, "", 0, "gone"), {At: second, Kind: LoadCommandReceived}}},

		"slow start, over its budget":   {4, slowStart},
		"slow start, within its budget": {0, slowStart[:5]},
		"collapsed":                     {4, []Record{{Kind: ServerCollapsed}}},

		"load commands over the limit":        {5, []Record{{At: 1, Kind: LoadCommandReceived}, {At: 2, Kind: LoadCommandReceived}}},
		"load commands within the limit":      {0, append([]Record{{At: -9, Kind: LoadCommandReceived}}, append(successfulRequest("forecast"), Record{At: 80_000, Kind: LoadCommandReceived})...)[:6]},
		"load commands of a restarted router": {0, []Record{{At: 1, Kind: LoadCommandReceived}, {At: 2, Kind: RouterRestarted}, {At: 3, Kind: LoadCommandReceived}}},
		"load commands after a stall":         {5, []Record{{At: 1, Kind: LoadCommandReceived}, {At: 2, Kind: RouterUp}, {At: 3, Kind: LoadCommandReceived}}},
		"load commands of two routers":        {0, []Record{{At: 1, Kind: LoadCommandReceived}, {At: 2, Kind: LoadCommandReceived, Router: 1}}},
	} {
		report := Check(testConfig(), c.records)
		for _, r := range report.Rules {
			if violated := r.ViolationCount > 0; violated != (r.Number == c.rule) {
				t.Errorf("%s: rule %d: %d violations %v", name, r.Number, r.ViolationCount, r.Violations)
			}
		}
		if report.Passed() && c.rule > 0 {
			t.Errorf("%s: passed", name)
		}
	}
}

func TestLogKeepsTheOrderOfTimes(t *testing.T) {
	l := NewLog()
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() { l.Add(Record{Server: i}) })
	}
	wg.Wait()
	records := l.Records()
	if len(records) != 100 {
		t.Errorf("%d records", len(records))
	}
	last := int64(0)
	for _, r := range records {
		if r.At < last {
			t.Fatalf("%d after %d", r.At, last)
		}
		last = r.At
	}
}
