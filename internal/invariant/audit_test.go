package invariant

import "testing"

const second = 1_000_000

func law() Law {
	return Law{Workloads: map[string]Workload{"ticket": {RunOnce: true}, "booking": {Fingerprinted: true, Group: "fleet", Window: 5 * second},
		"label": {Fingerprinted: true, Group: "zone", Window: 5 * second}}, Zone: []string{"a", "b", "a"}, Cell: []string{"a", "b", "a"},
		Grace: second / 2, Cold: 4 * second, ColdFrom: 0.25, Fall: second, FallMultiple: 2, Rate: 8,
		LoadWindow: 4 * second, LoadFree: 1, LoadShare: 0.5, Travel: 50_000}
}

// at builds a record of a job of a workload.
func at(ms int64, k Kind, workload string, server int, word string) Record {
	if k == Told {
		return Record{At: ms * 1000, Kind: k, Server: server, Word: word}
	}
	return Record{At: ms * 1000, Kind: k, Job: "j", Effect: "e", Workload: workload, Server: server, Word: word, Limit: 3 * second}
}

// finished is an honest job of a workload.
func finished(workload string) []Record {
	return []Record{at(0, Asked, workload, 0, ""), at(10, Received, workload, 0, ""), at(10, Began, workload, 0, ""),
		at(60, Ended, workload, 0, ""), at(70, Answered, workload, 0, Finished)}
}

// Each rule has breaches planted that it must find, beside honest days that it must not blame.
func TestPlantedBreaches(t *testing.T) {
	cold := []Record{{At: 0, Kind: Started, Server: 1}}
	for i := range int64(5) { // it bears 4 a second at its start
		cold = append(cold, Record{At: 1000 + i, Kind: Received, Server: 1})
	}
	for name, c := range map[string]struct {
		rule int // 0: none is broken
		recs []Record
	}{
		"finished":             {0, finished("ticket")},
		"no answer":            {1, []Record{at(0, Asked, "ticket", 0, ""), at(3300, GaveUp, "ticket", 0, "")}},
		"two answers":          {1, append(finished("ticket"), at(80, Answered, "ticket", 0, Killed))},
		"late answer":          {1, []Record{at(0, Asked, "ticket", 0, ""), at(3001, Answered, "ticket", 0, Killed)}},
		"sent after its end":   {1, append(finished("forecast"), at(200, Received, "forecast", 1, ""))},
		"finished from nobody": {1, []Record{at(0, Asked, "ticket", 0, ""), at(70, Answered, "ticket", 0, Finished)}},
		"nobody asked":         {1, []Record{at(10, Received, "ticket", 0, "")}},
		"halted router": {0, []Record{{At: second, Kind: Halted}, at(1500, Asked, "ticket", 0, ""), at(3300, GaveUp, "ticket", 0, ""),
			{At: 9 * second, Kind: Back}}},
		"halted before": {1, []Record{{At: 0, Kind: Halted}, {At: second, Kind: Back}, at(1500, Asked, "ticket", 0, ""),
			at(3300, GaveUp, "ticket", 0, "")}},
		"left": {0, []Record{at(0, Asked, "ticket", 0, ""), at(10, LeftIt, "ticket", 0, "")}},

		"run-once twice": {2, []Record{at(0, Asked, "ticket", 0, ""), at(10, Received, "ticket", 0, ""), at(10, Began, "ticket", 0, ""),
			at(20, Received, "ticket", 1, ""), at(20, Began, "ticket", 1, ""), at(70, Answered, "ticket", 0, Finished)}},
		"run-once after a refusal": {0, []Record{at(0, Asked, "ticket", 0, ""), at(10, Received, "ticket", 0, ""), at(10, Refused, "ticket", 0, ""),
			at(20, Received, "ticket", 1, ""), at(20, Began, "ticket", 1, ""), at(70, Answered, "ticket", 0, Finished)}},
		"run-once pushed back": {2, []Record{at(0, Asked, "ticket", 0, ""), at(10, Received, "ticket", 0, ""), at(10, Began, "ticket", 0, ""),
			at(70, Answered, "ticket", 0, PushedBack)}},
		"past the window": {2, []Record{{At: 0, Kind: Asked, Job: "j", Effect: "e", Workload: "booking", Limit: 9 * second},
			at(10, Received, "booking", 0, ""), at(10, Began, "booking", 0, ""), at(5100, Received, "booking", 1, ""),
			at(5200, Answered, "booking", 0, PushedBack)}},
		"within the window": {0, []Record{at(0, Asked, "booking", 0, ""), at(10, Received, "booking", 0, ""), at(10, Began, "booking", 0, ""),
			at(2000, Received, "booking", 1, ""), at(2100, Answered, "booking", 0, Finished)}},
		"outside the group": {2, []Record{at(0, Asked, "label", 0, ""), at(10, Received, "label", 0, ""), at(10, Began, "label", 0, ""),
			at(2000, Received, "label", 1, ""), at(2100, Answered, "label", 0, Finished)}},
		"inside the group": {0, []Record{at(0, Asked, "label", 0, ""), at(10, Received, "label", 0, ""), at(10, Began, "label", 0, ""),
			at(2000, Received, "label", 2, ""), at(2100, Answered, "label", 0, Finished)}},

		"job to a draining server": {3, append([]Record{at(-600, Told, "", 0, "draining")}, finished("forecast")...)},
		"within the grace":         {0, append([]Record{at(-400, Told, "", 0, "draining")}, finished("forecast")...)},
		"ready again":              {0, append([]Record{at(-600, Told, "", 0, "gone"), at(-1, Told, "", 0, "ready")}, finished("forecast")...)},
		"order to a gone server":   {3, []Record{at(0, Told, "", 0, "gone"), {At: second, Kind: Ordered}}},

		"cold server overrun": {4, cold},
		"cold server spared":  {0, cold[:5]},
		"fell over":           {4, []Record{{Kind: FellOver}}},

		"orders beyond the ration":   {5, []Record{{At: 1, Kind: Ordered}, {At: 2, Kind: Ordered}}},
		"orders within":              {0, append([]Record{{At: -9, Kind: Ordered}}, append(finished("forecast"), Record{At: 80_000, Kind: Ordered})...)[:6]},
		"orders of a renewed router": {0, []Record{{At: 1, Kind: Ordered}, {At: 2, Kind: Renewed}, {At: 3, Kind: Ordered}}},
		"orders of a woken router":   {5, []Record{{At: 1, Kind: Ordered}, {At: 2, Kind: Back}, {At: 3, Kind: Ordered}}},
		"orders of two routers":      {0, []Record{{At: 1, Kind: Ordered}, {At: 2, Kind: Ordered, Router: 1}}},
	} {
		v := Judge(law(), c.recs)
		for _, r := range v.Rules {
			if broken := r.Count > 0; broken != (r.Number == c.rule) {
				t.Errorf("%s: rule %d: %d breaches %v", name, r.Number, r.Count, r.Breaches)
			}
		}
		if v.Kept() && c.rule > 0 {
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
