package xds

import (
	"hollymast/control"
	"hollymast/internal/fleet"
	"hollymast/internal/membership"
	"slices"
	"strings"
	"testing"
)

func TestLoadBootstrap(t *testing.T) {
	m := membership.New(membership.DefaultBounds)
	client := NewClient(m, "", "", StateOfTheWorld, DefaultBounds)
	text := `
node: {id: x, cluster: home}
static_resources:
  listeners: []
  clusters:
  - name: workers
    connect_timeout: 1s
    type: STATIC
    lb_policy: LEAST_REQUEST
    load_assignment:
      cluster_name: workers
      endpoints:
      - locality: {zone: a, sub_zone: a1}
        lb_endpoints:
        - endpoint: {address: {socket_address: {address: 127.0.0.1, port_value: 9001}}}
          load_balancing_weight: 150
          metadata: {filter_metadata: {hollymast: {born: "2026-12-01T06:30:00Z"}}}
        - endpoint: {address: {socket_address: {address: 127.0.0.1, port_value: 9002}}}
          health_status: DRAINING
`
	if err := client.LoadBootstrap(1, []byte(text)); err != nil {
		t.Fatal(err)
	}
	list := m.List()
	if len(list) != 2 || list[0].Address != "127.0.0.1:9001" || list[0].Weight != 1.5 || list[0].Zone != "a" || list[0].Cell != "a1" ||
		list[0].StartedAt == 0 || list[1].State != control.Draining {
		t.Errorf("got %+v", list)
	}
	for _, bad := range []string{"a: [", "static_resources: 7", "node: {}", strings.Replace(text, "port_value: 9001", "port_value: 0", 1)} {
		if err := client.LoadBootstrap(2, []byte(bad)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.30q: got %v", bad, err)
		}
	}
	if !slices.EqualFunc(m.List(), list, func(a, b fleet.Endpoint) bool { return a == b }) {
		t.Errorf("an invalid bootstrap changed the list: %+v", m.List())
	}
}
