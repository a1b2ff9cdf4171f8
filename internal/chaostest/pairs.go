package chaostest

import "slices"

// Ratio holds the quartiles, over pairs of streams, of the ratio of a quantity with a feature enabled to that without it.
type Ratio struct {
	Quantity             string
	Lower, Median, Upper float64
}

// measurePairs measures streams in pairs, one with a feature enabled and one without it, so that other changes on the machine
// affect both alike. Which of the two comes first alternates. The functions are passed the index of the pair.
func measurePairs(n int, with, without func(pair int) (LoadResult, error)) ([]Ratio, error) {
	var cpu, p50, p99 []float64
	for pair := range n {
		var on, off LoadResult
		var err error
		if pair%2 == 0 {
			on, off, err = measurePair(pair, with, without)
		} else {
			off, on, err = measurePair(pair, without, with)
		}
		if err != nil {
			return nil, err
		}
		cpu = append(cpu, on.CPUPerRequest/off.CPUPerRequest)
		p50 = append(p50, float64(on.P50)/float64(off.P50))
		p99 = append(p99, float64(on.P99)/float64(off.P99))
	}
	return []Ratio{quartiles("CPU a job", cpu), quartiles("p50", p50), quartiles("p99", p99)}, nil
}

func measurePair(pair int, first, second func(pair int) (LoadResult, error)) (a, b LoadResult, err error) {
	if a, err = first(pair); err != nil {
		return a, b, err
	}
	b, err = second(pair)
	return a, b, err
}

// quartiles returns the quartiles of the values, which it sorts in place.
func quartiles(quantity string, values []float64) Ratio {
	slices.Sort(values)
	at := func(q float64) float64 { return values[int(q*float64(len(values)-1)+0.5)] }
	return Ratio{quantity, at(0.25), at(0.5), at(0.75)}
}
