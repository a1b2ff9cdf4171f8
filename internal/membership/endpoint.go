package membership

// Health is what a source says of an endpoint, in the words of Envoy's core.HealthStatus.
type Health uint8

// Healths. Unknown counts as healthy, as it does for Envoy; a degraded endpoint works, though worse.
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
	Weight    uint32 // 0: not told
	Priority  uint32
	Zone      string
	Cell      string
	StartedAt int64 // wall clock, microseconds since 1970; 0: not told
}

// badness orders healths: what one cluster calls draining takes nothing new, whatever another says.
var severity = [...]int{Healthy: 0, Unknown: 1, Degraded: 2, Timeout: 3, Unhealthy: 4, Draining: 5}

func worse(a, b Health) Health {
	if severity[b] > severity[a] {
		return b
	}
	return a
}

// usable tells whether jobs may go to an endpoint by what its source says.
func (h Health) usable() bool { return severity[h] < severity[Timeout] }

// power is a server's share of work by its weight. Envoy's weights are relative; hundred is commonly meant for one whole. A
// degraded endpoint is to get little while others are well.
func weight(endpoint Endpoint) float64 {
	weight := 1.0
	if endpoint.Weight > 0 {
		weight = float64(endpoint.Weight) / 100
	}
	if endpoint.Health == Degraded {
		weight /= 10
	}
	return min(max(weight, 0.001), 1e6)
}
