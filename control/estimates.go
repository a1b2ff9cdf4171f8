package control

import "slices"

// Estimates: execution and load times, objectives, and the samples that they are computed from.

// execTime estimates a function's execution time: the request's hint, else the mean of the latest answers from loaded
// replicas. The mean leaves out the far tail, so that a few heavy requests don't distort B. With too few samples it
// uses those of the request's class.
func (b *Balancer) execTime(f *function, req *Request) Micros {
	if req.ExecTimeHint > 0 {
		return req.ExecTimeHint
	}
	const minSamples = 3 // a mean of fewer depends too much on single requests
	s := &f.execTimes
	if s.n < minSamples {
		if s = &b.execTimes[req.Class]; s.n < minSamples {
			// Before any answer: a guess that makes B 3.
			return b.deployment.Classes[req.Class].LatencyObjective / 4
		}
	}
	sorted := s.since(0)
	cutoff := 4 * quantile(sorted, 0.5) // an exponential distribution has 1 in 16 beyond 4 medians
	n, _ := slices.BinarySearch(sorted, cutoff+1)
	return max(1, mean(sorted[:n]))
}

// loadTime estimates how long a load takes: the request's hint, else the mean of recent loads, else the latency
// objective of the first class, else 0. The request may be nil.
func (b *Balancer) loadTime(req *Request) Micros {
	if req != nil && req.LoadTimeHint > 0 {
		return req.LoadTimeHint
	}
	if recent := b.loadTimes.mean(0); recent != 0 || len(b.deployment.Classes) == 0 {
		return recent
	}
	return b.deployment.Classes[0].LatencyObjective
}

// latencyObjective returns a request's latency objective, which may grow with its execution time.
func (b *Balancer) latencyObjective(req *Request, exec Micros) Micros {
	class := b.deployment.Classes[req.Class]
	return class.LatencyObjective + Micros(class.ObjectivePerExecTime*float64(exec))
}

// samples is a ring of the latest measurements and their times.
type samples struct {
	v, at [16]Micros
	n     int // number of measurements ever taken
}

func (s *samples) add(now, v Micros) {
	i := s.n % len(s.v)
	s.v[i], s.at[i] = v, now
	s.n++
}

// since returns the measurements taken at t or later, in ascending order.
func (s *samples) since(t Micros) []Micros {
	var values []Micros
	for i := range min(s.n, len(s.v)) {
		if s.at[i] >= t {
			values = append(values, s.v[i])
		}
	}
	slices.Sort(values)
	return values
}

// mean returns the mean of the measurements taken at t or later; 0 if there are none.
func (s *samples) mean(t Micros) Micros {
	var sum, n Micros
	for i, v := range s.v[:min(s.n, len(s.v))] {
		if s.at[i] >= t {
			sum, n = sum+v, n+1
		}
	}
	return sum / max(1, n)
}

// quantile returns the q-quantile of measurements in ascending order; 0 if there are none.
func quantile(sorted []Micros, q float64) Micros {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// mean returns the mean of the measurements; 0 if there are none.
func mean(vs []Micros) Micros {
	var sum Micros
	for _, v := range vs {
		sum += v
	}
	return sum / Micros(max(1, len(vs)))
}
