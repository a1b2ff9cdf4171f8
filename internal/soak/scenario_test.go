package soak

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"hollymast/internal/config"
	"hollymast/internal/simproto"
)

// A seed always yields the same scenario, different seeds yield different ones, and routers accept the settings.
func TestGenerateScenario(t *testing.T) {
	const length = 30 * time.Second
	kinds := map[FaultKind]bool{}
	for seed := range uint64(200) {
		s := GenerateScenario(seed, length)
		if !reflect.DeepEqual(s, GenerateScenario(seed, length)) {
			t.Errorf("seed %d yields different scenarios", seed)
		}
		for _, fault := range s.Faults {
			kinds[fault.Kind] = true
			if fault.At < 0 || fault.At > length {
				t.Errorf("seed %d: fault outside the run: %v", seed, fault)
			}
		}
		text, err := json.Marshal(s.settings(0))
		if err != nil {
			t.Fatal(err)
		}
		boot, err := simproto.ParseBootInfo(text)
		if err != nil {
			t.Fatal(err)
		}
		if deployment, err := config.Deployment(boot); err != nil || deployment.Routers != s.Routers || len(deployment.Classes) != len(s.Classes) {
			t.Errorf("seed %d: %+v, %v", seed, deployment, err)
		}
	}
	if len(kinds) != 18 {
		t.Errorf("%d kinds of faults were drawn, want all 18: %v", len(kinds), kinds)
	}
	if reflect.DeepEqual(GenerateScenario(1, length), GenerateScenario(2, length)) {
		t.Error("seeds 1 and 2 yield the same scenario")
	}
}
