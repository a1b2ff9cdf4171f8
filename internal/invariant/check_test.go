package invariant

import "testing"

const second = 1_000_000

func law() Config {
	return Config{Classes: map[string]Class{"ticket": {NonIdempotent: true}, "booking": {IdempotentByKey: true, Scope: "fleet", Window: 5 * second},
		"label": {IdempotentByKey: true, Scope: "zone", Window: 5 * second}}, Zone: []string{"a", "b", "a"}, Cell: []string{"a", "b", "a"},
		DrainGrace: second / 2, SlowStartDuration: 4 * second, SlowStartInitial: 0.25, OverloadWindow: second, OverloadFactor: 2, ServerRate: 8,
		LoadRateWindow: 4 * second, LoadRateBase: 1, LoadRatePerRequest: 0.5, MaxNetworkDelay: 50_000}
}

// at builds a record of a job of a workload.
func at(ms int64, k Kind, workload string, server int, word string) Record {
	if k == EndpointPublished {
		return Record{At: ms * 1000, Kind: k, Server: server, Detail: word}
	}
	return Record{At: ms * 1000, Kind: k, Request: "j", Effect: "e", Workload: workload, Server: server, Detail: word, Deadline: 3 * second}
}

// finished is an honest job of a workload.
func finished(workload string) []Record {
	return []Record{at(0, RequestSent, workload, 0, ""), at(10, AttemptReceived, workload, 0, ""), at(10, AttemptStarted, workload, 0, ""),
		at(60, AttemptEnded, workload, 0, ""), at(70, ResponseReceived, workload, 0, Succeeded)}
}

// Each rule has breaches planted that it must find, beside honest days that it must not blame.
func TestPlantedBreaches(t *testing.T) {
	cold := []Record{{At: 0, Kind: ServerStarted, Server: 1}}
	for i := range int64(5) { // it bears 4 a second at its start
		cold = append(cold, Record{At: 1000 + i, Kind: AttemptReceived, Server: 1})
	}
	for name, c := range map[string]struct {
		rule int // 0: none is broken
		recs []Record
	}{
		"finished":             {0, finished("ticket")},
		"no answer":            {1, []Record{at(0, RequestSent, "ticket", 0, ""), at(3300, RequestTimedOut, "ticket", 0, "")}},
		"two answers":          {1, append(finished("ticket"), at(80, ResponseReceived, "ticket", 0, Failed))},
		"late answer":          {1, []Record{at(0, RequestSent, "ticket", 0, ""), at(3001, ResponseReceived, "ticket", 0, Failed)}},
		"sent after its end":   {1, append(finished("forecast"), at(200, AttemptReceived, "forecast", 1, ""))},
		"finished from nobody": {1, []Record{at(0, RequestSent, "ticket", 0, ""), at(70, ResponseReceived, "ticket", 0, Succeeded)}},
		"nobody asked":         {1, []Record{at(10, AttemptReceived, "ticket", 0, "")}},
		"halted router": {0, []Record{{At: second, Kind: RouterDown}, at(1500, RequestSent, "ticket", 0, ""), at(3300, RequestTimedOut, "ticket", 0, ""),
			{At: 9 * second, Kind: RouterUp}}},
		"halted before": {1, []Record{{At: 0, Kind: RouterDown}, {At: second, Kind: RouterUp}, at(1500, RequestSent, "ticket", 0, ""),
			at(3300, RequestTimedOut, "ticket", 0, "")}},
		"left": {0, []Record{at(0, RequestSent, "ticket", 0, ""), at(10, RequestAbandoned, "ticket", 0, "")}},

		"run-once twice": {2, []Record{at(0, RequestSent, "ticket", 0, ""), at(10, AttemptReceived, "ticket", 0, ""), at(10, AttemptStarted, "ticket", 0, ""),
			at(20, AttemptReceived, "ticket", 1, ""), at(20, AttemptStarted, "ticket", 1, ""), at(70, ResponseReceived, "ticket", 0, Succeeded)}},
		"run-once after a refusal": {0, []Record{at(0, RequestSent, "ticket", 0, ""), at(10, AttemptReceived, "ticket", 0, ""), at(10, AttemptRefused, "ticket", 0, ""),
			at(20, AttemptReceived, "ticket", 1, ""), at(20, AttemptStarted, "ticket", 1, ""), at(70, ResponseReceived, "ticket", 0, Succeeded)}},
		"run-once pushed back": {2, []Record{at(0, RequestSent, "ticket", 0, ""), at(10, AttemptReceived, "ticket", 0, ""), at(10, AttemptStarted, "ticket", 0, ""),
			at(70, ResponseReceived, "ticket", 0, Rejected)}},
		"past the window": {2, []Record{{At: 0, Kind: RequestSent, Request: "j", Effect: "e", Workload: "booking", Deadline: 9 * second},
			at(10, AttemptReceived, "booking", 0, ""), at(10, AttemptStarted, "booking", 0, ""), at(5100, AttemptReceived, "booking", 1, ""),
			at(5200, ResponseReceived, "booking", 0, Rejected)}},
		"within the window": {0, []Record{at(0, RequestSent, "booking", 0, ""), at(10, AttemptReceived, "booking", 0, ""), at(10, AttemptStarted, "booking", 0, ""),
			at(2000, AttemptReceived, "booking", 1, ""), at(2100, ResponseReceived, "booking", 0, Succeeded)}},
		"outside the group": {2, []Record{at(0, RequestSent, "label", 0, ""), at(10, AttemptReceived, "label", 0, ""), at(10, AttemptStarted, "label", 0, ""),
			at(2000, AttemptReceived, "label", 1, ""), at(2100, ResponseReceived, "label", 0, Succeeded)}},
		"inside the group": {0, []Record{at(0, RequestSent, "label", 0, ""), at(10, AttemptReceived, "label", 0, ""), at(10, AttemptStarted, "label", 0, ""),
			at(2000, AttemptReceived, "label", 2, ""), at(2100, ResponseReceived, "label", 0, Succeeded)}},

		"job to a draining server": {3, append([]Record{at(-600, EndpointPublished, "", 0, "draining")}, finished("forecast")...)},
		"within the grace":         {0, append([]Record{at(-400, EndpointPublished, "", 0, "draining")}, finished("forecast")...)},
		"ready again":              {0, append([]Record{at(-600, EndpointPublished, "", 0, "gone"), at(-1, EndpointPublished, "", 0, "ready")}, finished("forecast")...)},
		"order to a gone server":   {3, []Record{at(0, EndpointPublished, "", 0, "gone"), {At: second, Kind: LoadCommandReceived}}},

		"cold server overrun": {4, cold},
		"cold server spared":  {0, cold[:5]},
		"fell over":           {4, []Record{{Kind: ServerCollapsed}}},

		"orders beyond the ration":   {5, []Record{{At: 1, Kind: LoadCommandReceived}, {At: 2, Kind: LoadCommandReceived}}},
		"orders within":              {0, append([]Record{{At: -9, Kind: LoadCommandReceived}}, append(finished("forecast"), Record{At: 80_000, Kind: LoadCommandReceived})...)[:6]},
		"orders of a renewed router": {0, []Record{{At: 1, Kind: LoadCommandReceived}, {At: 2, Kind: RouterRestarted}, {At: 3, Kind: LoadCommandReceived}}},
		"orders of a woken router":   {5, []Record{{At: 1, Kind: LoadCommandReceived}, {At: 2, Kind: RouterUp}, {At: 3, Kind: LoadCommandReceived}}},
		"orders of two routers":      {0, []Record{{At: 1, Kind: LoadCommandReceived}, {At: 2, Kind: LoadCommandReceived, Router: 1}}},
	} {
		v := Check(law(), c.recs)
		for _, r := range v.Rules {
			if broken := r.ViolationCount > 0; broken != (r.Number == c.rule) {
				t.Errorf("%s: rule %d: %d breaches %v", name, r.Number, r.ViolationCount, r.Violations)
			}
		}
		if v.Passed() && c.rule > 0 {
			t.Errorf("%s: called kept", name)
		}
	}
}

func TestLogKeepsTheOrderOfTimes(t *testing.T) {
	l := NewLog()
	for i := range 100 {
		go l.Add(Record{Server: i})
	}
	for len(l.Records()) < 100 {
	}
	last := int64(0)
	for _, r := range l.Records() {
		if r.At < last {
			t.Fatalf("%d after %d", r.At, last)
		}
		last = r.At
	}
}
