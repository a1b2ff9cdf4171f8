package chaostest

import (
	"slices"
)

// Ratio is a quantity's quartiles over pairs.
type Ratio struct {
	Quantity             string
	Lower, Median, Upper float64
}

// pairs measures streams in pairs, one with something on and one without, so that whatever else changes on the machine meets
// both alike; which of the two comes first alternates.
func measurePairs(n int, stretch func(on bool, pair int) (LoadResult, error)) ([]Ratio, error) {
	var cpu, p50, p99 []float64
	for pair := range n {
		var with, without LoadResult
		for half := range 2 {
			on := half == pair%2
			m, err := stretch(on, pair)
			if err != nil {
				return nil, err
			}
			if on {
				with = m
			} else {
				without = m
			}
		}
		cpu = append(cpu, with.CPUPerRequest/without.CPUPerRequest)
		p50, p99 = append(p50, float64(with.P50)/float64(without.P50)), append(p99, float64(with.P99)/float64(without.P99))
	}
	return []Ratio{quartiles("CPU a job", cpu), quartiles("p50", p50), quartiles("p99", p99)}, nil
}

func quartiles(of string, xs []float64) Ratio {
	slices.Sort(xs)
	at := func(q float64) float64 { return xs[int(q*float64(len(xs)-1)+0.5)] }
	return Ratio{of, at(0.25), at(0.5), at(0.75)}
}
