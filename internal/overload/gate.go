package overload

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hollymast/control"
)

// gate holds back the least important work while a storm keeps what is let in from being answered. The most important work is never
// held back here.
type gate struct {
	classes []float64 // the importances told, ascending, each once
	height  float64   // classes below it are held back, the one that it stands in by the part of it below
}

// How the gate moves, in classes a part, and what of a class that is held back is let in all the same. It rises within a second a
// class, about as fast as a wave does, and sinks slower, so that it finds a level instead of swinging. A quarter keeps copies of what
// is held back loaded somewhere.
const (
	rises = 0.1
	sinks = 0.03
	floor = 0.25
)

// turnOf is for how long the same functions of a class are held back: a few loads' time, and longer than a client's pauses, so that to
// ask again does not help. To choose functions and not calls means that fewer copies do more of the work.
const turnOf = control.Micros(2_000_000)

func newGate(importances []float64) gate {
	classes := slices.Clone(importances)
	slices.Sort(classes)
	return gate{classes: slices.Compact(classes)}
}

// move raises or lowers the gate by a part's finding.
func (g *gate) move(stormy, pressed bool) {
	switch top := float64(max(0, len(g.classes)-1)); {
	case !stormy:
		g.height = 0
	case pressed:
		g.height = min(top, g.height+rises)
	default:
		g.height = max(0, g.height-sinks)
	}
}

// holds tells whether a call for a function is held back now. All routers hold back the same functions at about the same time, since
// the choice hangs on nothing else: what is let in finds its copies.
func (g *gate) holds(now control.Micros, importance float64, f control.FunctionID) bool {
	class, _ := slices.BinarySearch(g.classes, importance)
	part := min(1, g.height-float64(class)) * (1 - floor)
	if part <= 0 {
		return false
	}
	var b [16]byte
	turn := uint64(now / turnOf)
	for i := range 8 {
		b[i], b[8+i] = byte(uint64(f)>>(8*i)), byte(turn>>(8*i))
	}
	return float64(xxhash.Sum64(b[:]))/math.MaxUint64 < part
}
