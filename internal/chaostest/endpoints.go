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

// publish writes the endpoint list, unless a fault has paused publishing.
func (h *harness) publish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.publishPauses > 0 {
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

// endpointList returns the content of the endpoint list file.
func (h *harness) endpointList() []byte {
	var b bytes.Buffer
	for i, server := range h.servers {
		if h.states[i] == invariant.EndpointGone {
			continue
		}
		fmt.Fprintf(&b, "[server %d]\naddress = %s\nstate = %s\nzone = %s\ncell = %s\n", i, server.Address(), h.states[i], zone(i), zone(i))
		if startedAt, restarted := server.StartedAt(); restarted { // a server without a start time counts as started long before the run
			fmt.Fprintf(&b, "born = %s\n", startedAt.UTC().Format(time.RFC3339Nano))
		}
	}
	return b.Bytes()
}

// setState changes a server's state and publishes the endpoint list.
func (h *harness) setState(server int, state string) {
	h.mu.Lock()
	h.states[server] = state
	h.mu.Unlock()
	h.publish()
}

// withPublishingPaused runs f without publishing the endpoint list. Changes made meanwhile are published afterwards.
func (h *harness) withPublishingPaused(f func()) {
	h.addPublishPauses(1)
	f()
	h.addPublishPauses(-1)
	h.publish()
}

func (h *harness) addPublishPauses(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publishPauses += n
}

// The two clusters of the control plane: servers with even numbers and servers with odd numbers.
const (
	evenCluster = "even"
	oddCluster  = "odd"
)

// clusters returns an update that sets the control plane's clusters to the servers in the given states.
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

// loseAllEndpoints is an update after which the control plane publishes an empty list.
func loseAllEndpoints(clusters map[string][]fakeserver.Endpoint) { clear(clusters) }

// loseHalfOfEndpoints is an update after which the control plane publishes only one of the two clusters.
func loseHalfOfEndpoints(clusters map[string][]fakeserver.Endpoint) { delete(clusters, oddCluster) }

// injectControlPlaneFault injects a fault of the control plane and returns when it is over. Changes of servers during the fault
// are published afterwards, unless only streams are dropped.
func (h *harness) injectControlPlaneFault(ctx context.Context, f Fault) {
	switch f.Kind {
	case FaultControlPlaneEmptyList, FaultControlPlaneHalfList:
		update := loseHalfOfEndpoints
		if f.Kind == FaultControlPlaneEmptyList {
			update = loseAllEndpoints
		}
		h.withPublishingPaused(func() {
			h.controlPlane.Update(update)
			sleep(ctx, f.Duration)
		})
	case FaultControlPlaneStreamDrops:
		for end := time.Now().Add(f.Duration); time.Now().Before(end) && ctx.Err() == nil; {
			h.controlPlane.DropStreams(true)
			sleep(ctx, streamDropInterval)
		}
	case FaultControlPlaneStall: // a change that routers can't receive must not count as published
		h.withPublishingPaused(func() {
			h.controlPlane.SetStalled(true)
			sleep(ctx, f.Duration)
			h.controlPlane.SetStalled(false)
		})
	}
}

// streamDropInterval is the time between two drops of all streams: long enough for routers to reconnect and to receive a response.
const streamDropInterval = 300 * time.Millisecond
