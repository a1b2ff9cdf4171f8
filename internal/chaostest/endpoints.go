package chaostest

import (
	"bytes"
	"fmt"
	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
	"path/filepath"
	"slices"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"github.com/google/renameio/v2"
)

// publish writes the list, unless a trouble keeps it.
func (p *harness) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.publishHolds > 0 {
		return
	}
	var b bytes.Buffer
	for i, s := range p.servers {
		if p.states[i] == "gone" {
			continue
		}
		fmt.Fprintf(&b, "[server %d]\naddress = %s\nstate = %s\nzone = %s\ncell = %s\n", i, s.Address(), p.states[i], zone(i), zone(i))
		if born, cold := s.StartedAt(); cold { // the others began long before the day
			fmt.Fprintf(&b, "born = %s\n", born.UTC().Format(time.RFC3339Nano))
		}
	}
	if p.controlPlane != nil {
		p.controlPlane.Update(p.clusterMembers(p.states))
	}
	if err := renameio.WriteFile(filepath.Join(p.dir, "workers.ini"), b.Bytes(), 0o600); err != nil && p.err == nil {
		p.err = err
	}
	for i, state := range p.states {
		if p.published[i] != state {
			p.log.Add(invariant.Record{Kind: invariant.EndpointPublished, Server: i, Detail: state})
		}
	}
	p.published = slices.Clone(p.states)
}

func (p *harness) setState(i int, state string) {
	p.mu.Lock()
	p.states[i] = state
	p.mu.Unlock()
	p.publish()
}

// members gives the control plane's view: two clusters that share the servers between them.
func (p *harness) clusterMembers(states []string) func(map[string][]fakeserver.Endpoint) {
	return func(clusters map[string][]fakeserver.Endpoint) {
		clusters["even"], clusters["odd"] = nil, nil
		for i, s := range p.servers {
			m := fakeserver.Endpoint{Address: s.Address(), Zone: zone(i), Cell: zone(i), Health: core.HealthStatus_HEALTHY}
			if born, cold := s.StartedAt(); cold {
				m.StartedAt = born.UTC().Format(time.RFC3339Nano)
			}
			switch states[i] {
			case "draining":
				m.Health = core.HealthStatus_DRAINING
			case "gone":
				continue
			}
			name := []string{"even", "odd"}[i%2]
			clusters[name] = append(clusters[name], m)
		}
	}
}
