package gateway

// listenerRole says which calls a listener serves.
type listenerRole uint8

const (
	clientListener listenerRole = iota // requests from clients
	adminListener                      // metrics, health and admin calls
)

// closeListeners closes all listeners.
func (g *Gateway) closeListeners() {
	for _, l := range g.listeners {
		l.Close()
	}
}
