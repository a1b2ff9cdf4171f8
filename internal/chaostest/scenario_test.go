package chaostest

import (
	"errors"
	"strings"
	"testing"
	"time"

	"hollymast/internal/inifile"
)

func TestScheduleFollowsTheSeed(t *testing.T) {
	s := &Scenario{Seed: 1, Calls: 100, Length: time.Second, Routers: 3, Functions: 9,
		Faults: []Fault{{Kind: FaultHotFunction, Name: "x", Duration: time.Second, Share: 1}}}
	first, second := s.schedule(), s.schedule()
	s.Seed = 2
	other := s.schedule()
	equal := 0
	for i := range first {
		if first[i] != second[i] || first[i].function != "forecast-hot-x" || first[i].at > s.Length {
			t.Fatalf("call %d: %+v, %+v", i, first[i], second[i])
		}
		if first[i].at == other[i].at {
			equal++
		}
	}
	if equal > 10 {
		t.Errorf("%d calls are equal with another seed", equal)
	}
}

func TestParseScenarioReportsEveryProblem(t *testing.T) {
	_, err := ParseScenario("d.ini", []byte("[day]\njobs = 0\n[trouble x]\nkind = flood\nat = 19s\nlasts = 5s\n"))
	var invalid *inifile.ValidationError
	if !errors.As(err, &invalid) || len(invalid.Problems) != 3 || strings.Count(err.Error(), "\n") != 2 {
		t.Errorf("want three problems, got %v", err)
	}
	if _, err := ParseScenario("", nil); err != nil {
		t.Errorf("the built-in scenario: %v", err)
	}
}
