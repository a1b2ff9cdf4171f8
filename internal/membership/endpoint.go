package membership

// Health is what a source says of an endpoint, in the terms of Envoy's core.HealthStatus.
type Health uint8

// The health states. Unknown counts as healthy, as it does for Envoy; a degraded endpoint works, at a lower weight.
const (
	Unknown Health = iota
	Healthy
	Degraded
	Unhealthy
	Draining
	Timeout
)

// Endpoint is what a source says of one server.
type Endpoint struct {
	Address   string
	Health    Health
	Weight    uint32 // relative; 0: not given
	Priority  uint32 // a greater number is a lower priority
	Zone      string
	Cell      string
	StartedAt int64 // wall clock, microseconds since 1970; 0: not given
}

// severity orders the health states: an endpoint that one cluster calls draining gets nothing new, whatever another says.
var severity = [...]int{Healthy: 0, Unknown: 1, Degraded: 2, Timeout: 3, Unhealthy: 4, Draining: 5}

func worse(a, b Health) Health {
	if severity[b] > severity[a] {
		return b
	}
	return a
}

// usable reports whether requests may go to an endpoint of this health.
func (h Health) usable() bool { return severity[h] < severity[Timeout] }

const (
	// fullWeight is the weight that commonly stands for one whole server, since Envoy's weights are relative.
	fullWeight = 100
	// degradedDivisor leaves a degraded endpoint a small part of the requests while others are healthy.
	degradedDivisor = 10
	// minWeight and maxWeight keep any weight that a source can send within what the balancer reckons with.
	minWeight, maxWeight = 0.001, 1e6
)

// weight returns a server's relative share of the requests.
func weight(endpoint Endpoint) float64 {
	weight := 1.0
	if endpoint.Weight > 0 {
		weight = float64(endpoint.Weight) / fullWeight
	}
	if endpoint.Health == Degraded {
		weight /= degradedDivisor
	}
	return min(max(weight, minWeight), maxWeight)
}
