package xds

import (
	"errors"
	"fmt"
	"strings"

	bootstrap "github.com/envoyproxy/go-control-plane/envoy/config/bootstrap/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/anypb"
	"sigs.k8s.io/yaml"

	"hollymast/control"
)

// LoadBootstrap applies the clusters in the static_resources of an Envoy bootstrap (YAML or JSON,
// envoy.config.bootstrap.v3.Bootstrap), as if a control plane had sent them. Unknown fields are ignored, as are Envoy's
// listeners and filters. An error is one line long, and nothing has changed then.
func (c *Client) LoadBootstrap(now control.Micros, text []byte) error {
	json, err := yaml.YAMLToJSON(text)
	if err != nil {
		return fmt.Errorf("no YAML: %s", oneLine(err))
	}
	b := &bootstrap.Bootstrap{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(json, b); err != nil {
		return fmt.Errorf("no bootstrap of Envoy's: %s", oneLine(err))
	}
	if b.GetStaticResources() == nil {
		return errors.New("no static_resources in it")
	}
	r := &discovery.DiscoveryResponse{TypeUrl: ClusterType}
	for _, cluster := range b.GetStaticResources().GetClusters() {
		resource, err := anypb.New(cluster)
		if err != nil {
			return err
		}
		r.Resources = append(r.Resources, resource)
	}
	c.members.SourceUp(now)
	_, err = c.applyFull(now, r)
	return err
}

func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }
