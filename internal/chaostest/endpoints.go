package chaostest

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"github.com/google/renameio/v2"

	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
)

// publish writes the endpoint list, unless a fault holds it back.
func (h *harness) publish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.publishHolds > 0 {
		return
	}
	if h.controlPlane != nil {
		h.controlPlane.Update(h.clusters(h.states))
	}
	if err := renameio.WriteFile(h.endpointsFile(), h.endpointList(), 0o600); err != nil && h.err == nil {
		h.err = err
	}
	for i, state := range h.states {
		if h.published[i] != state {
			h.log.Add(invariant.Record{Kind: invariant.EndpointPublished, Server: i, Detail: state})
		}
	}
	h.published = slices.Clone(h.states)
}

// endpointList gives the endpoint list as a file.
func (h *harness) endpointList() []byte {
	var b bytes.Buffer
	for i, server := range h.servers {
		if h.states[i] == invariant.EndpointGone {
			continue
		}
		fmt.Fprintf(&b, "[server %d]\naddress = %s\nstate = %s\nzone = %s\ncell = %s\n", i, server.Address(), h.states[i], zone(i), zone(i))
		if startedAt, restarted := server.StartedAt(); restarted { // the others count as started long before the run
			fmt.Fprintf(&b, "born = %s\n", startedAt.UTC().Format(time.RFC3339Nano))
		}
	}
	return b.Bytes()
}

// setState changes a server's state in the endpoint list.
func (h *harness) setState(server int, state string) {
	h.mu.Lock()
	h.states[server] = state
	h.mu.Unlock()
	h.publish()
}

// holdPublishing keeps the endpoint list as it is while f runs; what has changed meanwhile is published afterwards.
func (h *harness) holdPublishing(f func()) {
	h.addPublishHolds(1)
	f()
	h.addPublishHolds(-1)
	h.publish()
}

func (h *harness) addPublishHolds(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publishHolds += n
}

// The two clusters of the control plane share the servers: even and odd numbers.
const (
	evenCluster = "even"
	oddCluster  = "odd"
)

// clusters gives an update that replaces the control plane's clusters by the servers in these states.
func (h *harness) clusters(states []string) func(map[string][]fakeserver.Endpoint) {
	return func(clusters map[string][]fakeserver.Endpoint) {
		clusters[evenCluster], clusters[oddCluster] = nil, nil
		for i, server := range h.servers {
			if states[i] == invariant.EndpointGone {
				continue
			}
			e := fakeserver.Endpoint{Address: server.Address(), Zone: zone(i), Cell: zone(i), Health: corev3.HealthStatus_HEALTHY}
			if startedAt, restarted := server.StartedAt(); restarted {
				e.StartedAt = startedAt.UTC().Format(time.RFC3339Nano)
			}
			if states[i] == invariant.EndpointDraining {
				e.Health = corev3.HealthStatus_DRAINING
			}
			cluster := []string{evenCluster, oddCluster}[i%2]
			clusters[cluster] = append(clusters[cluster], e)
		}
	}
}

// loseAllEndpoints is an update by which the control plane publishes an empty list.
func loseAllEndpoints(clusters map[string][]fakeserver.Endpoint) { clear(clusters) }

// loseHalfOfEndpoints is an update by which the control plane loses one cluster.
func loseHalfOfEndpoints(clusters map[string][]fakeserver.Endpoint) { delete(clusters, oddCluster) }

// injectControlPlaneFault breaks the control plane for a time. What happens to servers meanwhile is published afterwards.
func (h *harness) injectControlPlaneFault(ctx context.Context, f Fault) {
	switch f.Kind {
	case FaultControlPlaneEmptyList, FaultControlPlaneHalfList:
		update := loseHalfOfEndpoints
		if f.Kind == FaultControlPlaneEmptyList {
			update = loseAllEndpoints
		}
		h.holdPublishing(func() {
			h.controlPlane.Update(update)
			sleep(ctx, f.Duration)
		})
	case FaultControlPlaneStreamDrops:
		for end := time.Now().Add(f.Duration); time.Now().Before(end) && ctx.Err() == nil; {
			h.controlPlane.DropStreams(true)
			sleep(ctx, streamDropInterval)
		}
	case FaultControlPlaneStall: // nothing may change meanwhile that routers would have to know
		h.holdPublishing(func() {
			h.controlPlane.SetStalled(true)
			sleep(ctx, f.Duration)
			h.controlPlane.SetStalled(false)
		})
	}
}

// streamDropInterval is between two drops of all streams: routers have time to reconnect and to read something.
const streamDropInterval = 300 * time.Millisecond
