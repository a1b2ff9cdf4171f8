package membership

// Health is an endpoint's health as reported by the source. The states are those of Envoy's core.HealthStatus.
type Health uint8

// The health states. Unknown counts as healthy, as in Envoy. A degraded endpoint is usable at a lower weight.
const (
	Unknown Health = iota
	Healthy
	Degraded
	Unhealthy
	Draining
	Timeout
)

// Endpoint is one server as listed by the source.
type Endpoint struct {
	Address   string
	Health    Health
	Weight    uint32 // relative; 0: not set
	Priority  uint32 // a greater number is a lower priority
	Zone      string
	Cell      string
	StartedAt int64 // wall clock, microseconds since 1970; 0: not set
}

// severity orders the health states, the worst one last. Draining ranks last, since an endpoint that is draining in one
// cluster must get no new requests, whatever its state in other clusters.
var severity = [...]int{Healthy: 0, Unknown: 1, Degraded: 2, Timeout: 3, Unhealthy: 4, Draining: 5}

func worseHealth(a, b Health) Health {
	if severity[b] > severity[a] {
		return b
	}
	return a
}

// usable reports whether requests may be sent to an endpoint of this health.
func (h Health) usable() bool { return severity[h] < severity[Timeout] }

const (
	// fullWeight is the weight that becomes 1. Envoy's weights are relative; by convention 100 stands for one full server.
	fullWeight = 100
	// degradedDivisor reduces a degraded endpoint to a small share of the requests while others are healthy.
	degradedDivisor = 10
	// minWeight and maxWeight clamp whatever the source sends to the range that the balancer supports.
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
