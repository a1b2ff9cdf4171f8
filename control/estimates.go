package control

import (
	"cmp"
	"slices"
)

// Estimates: execution and load times, objectives, and the samples they rest on.

// execTime is the function's execution time: the hint, else a mean of its last warm answers that leaves out
// the far tail, so that a few heavy jobs don't distort B; with too few, its workload's.
func (r *Balancer) execTime(f *function, j *Request) Micros {
	if j.Work > 0 {
		return j.Work
	}
	const enough = 3 // a mean of fewer is mostly the luck of one job
	s := &f.execTimes
	if s.n < enough {
		if s = &r.execTimes[j.Class]; s.n < enough {
			return r.deployment.Classes[j.Class].LatencyObjective / 4 // before any answer: a guess that leaves B at 3
		}
	}
	sorted := s.since(0)
	far := 4 * quantile(sorted, 0.5) // an exponential's tail beyond 4 medians is 1 in 16
	n, _ := slices.BinarySearch(sorted, far+1)
	return max(1, mean(sorted[:n]))
}

// loadTime is how long a load takes: the hint, else the mean of recent loads, with none the start target.
func (r *Balancer) loadTime(j *Request) Micros {
	if j != nil && j.LoadTime > 0 {
		return j.LoadTime
	}
	return cmp.Or(r.loadTimes.mean(0), r.deployment.Classes[0].LatencyObjective)
}

// latencyObjective is a job's start target, which may grow with its execution time.
func (r *Balancer) latencyObjective(j *Request, exec Micros) Micros {
	w := r.deployment.Classes[j.Class]
	return w.LatencyObjective + Micros(w.ObjectivePerWork*float64(exec))
}

// samples keeps the last few measurements and when they were taken.
type samples struct {
	v, at [16]Micros
	n     int
}

func (s *samples) add(now, v Micros) {
	i := s.n % len(s.v)
	s.v[i], s.at[i] = v, now
	s.n++
}

// since lists the measurements taken after t, smallest first.
func (s *samples) since(t Micros) []Micros {
	var vs []Micros
	for i := range min(s.n, len(s.v)) {
		if s.at[i] >= t {
			vs = append(vs, s.v[i])
		}
	}
	slices.Sort(vs)
	return vs
}

// mean is that of the measurements taken after t; 0 of none.
func (s *samples) mean(t Micros) Micros {
	var sum, n Micros
	for i, v := range s.v[:min(s.n, len(s.v))] {
		if s.at[i] >= t {
			sum, n = sum+v, n+1
		}
	}
	return sum / max(1, n)
}

// quantile gives the measurement below which a share q of the sorted ones lies; 0 of none.
func quantile(sorted []Micros, q float64) Micros {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func mean(vs []Micros) Micros {
	var sum Micros
	for _, v := range vs {
		sum += v
	}
	return sum / Micros(max(1, len(vs)))
}
