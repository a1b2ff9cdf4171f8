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
// envoy.config.bootstrap.v3.Bootstrap), as if a control plane had sent them. Unknown fields are ignored, and so are Envoy's
// listeners and filters. If LoadBootstrap returns an error, which is a single line, nothing has changed.
func (c *Client) LoadBootstrap(now control.Micros, text []byte) error {
	json, err := yaml.YAMLToJSON(text)
	if err != nil {
		return fmt.Errorf("invalid YAML: %s", oneLine(err))
	}
	b := &bootstrap.Bootstrap{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(json, b); err != nil {
		return fmt.Errorf("invalid Envoy bootstrap: %s", oneLine(err))
	}
	if b.GetStaticResources() == nil {
		return errors.New("the bootstrap has no static_resources")
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
