package overload

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
)

// gate holds back the least important work while a storm keeps what is let in from being answered. The most important work is never
// held back here.
type shedder struct {
	priorities []float64 // the importances told, ascending, each once
	level      float64   // classes below it are held back, the one that it stands in by the part of it below
}

// How the gate moves, in classes a part, and what of a class that is held back is let in all the same. It rises within a second a
// class, about as fast as a wave does, and sinks slower, so that it finds a level instead of swinging. A quarter keeps copies of what
// is held back loaded somewhere.
const (
	raiseStep     = 0.1
	lowerStep     = 0.03
	admittedShare = 0.25
)

// turnOf is for how long the same functions of a class are held back: a few loads' time, and longer than a client's pauses, so that to
// ask again does not help. To choose functions and not calls means that fewer copies do more of the work.
const rotationPeriod = control.Micros(2_000_000)

func newShedder(priorities []float64) shedder {
	classes := slices.Clone(priorities)
	slices.Sort(classes)
	return shedder{priorities: slices.Compact(classes)}
}

// move raises or lowers the gate by a part's finding.
func (g *shedder) move(stormy, pressed bool) {
	switch top := float64(max(0, len(g.priorities)-1)); {
	case !stormy:
		g.level = 0
	case pressed:
		g.level = min(top, g.level+raiseStep)
	default:
		g.level = max(0, g.level-lowerStep)
	}
}

// holds tells whether a call for a function is held back now. All routers hold back the same functions at about the same time, since
// the choice hangs on nothing else: what is let in finds its copies.
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
