package overload

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
)

// shedder sheds load by priority: it rejects requests for the least important functions while too many of the admitted
// requests remain unanswered. The highest priority is never shed.
type shedder struct {
	priorities []float64 // ascending, without duplicates
	level      float64   // priorities of lower rank are shed, the one at this rank by the fraction
}

// The changes of the level, in ranks per interval. It rises by one rank per second, about as fast as a storm grows, and falls
// more slowly, so that it settles instead of oscillating.
const (
	raiseStep = 0.1
	lowerStep = 0.03
)

// admittedShare is the share of the functions of a shed priority that are admitted nevertheless, which keeps instances
// of them loaded.
const admittedShare = 0.25

// rotationPeriod is how long the same functions are shed: as long as a few loads take, and longer than clients wait, so
// that an immediate retry gets the same result. Functions are selected, not requests, so that fewer instances do more
// of the work.
const rotationPeriod = control.Micros(2_000_000)

func newShedder(priorities []float64) shedder {
	sorted := slices.Clone(priorities)
	slices.Sort(sorted)
	return shedder{priorities: slices.Compact(sorted)}
}

func (s *shedder) reset() { s.level = 0 }

func (s *shedder) raise() {
	highest := float64(max(0, len(s.priorities)-1))
	s.level = min(highest, s.level+raiseStep)
}

func (s *shedder) lower() { s.level = max(0, s.level-lowerStep) }

// sheds reports whether requests for a function are rejected now. The selection depends on the function and the time
// only, so that all routers shed the same functions at about the same time, and admitted requests find their instances
// loaded.
func (s *shedder) sheds(now control.Micros, priority float64, function control.FunctionID) bool {
	rank, _ := slices.BinarySearch(s.priorities, priority)
	share := min(1, s.level-float64(rank)) * (1 - admittedShare)
	if share <= 0 {
		return false
	}
	var key [16]byte
	rotation := uint64(now / rotationPeriod)
	for i := range 8 {
		key[i], key[8+i] = byte(uint64(function)>>(8*i)), byte(rotation>>(8*i))
	}
	return float64(xxhash.Sum64(key[:]))/math.MaxUint64 < share
}
