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

// Bootstrap has a follower take in a file in Envoy's own form (YAML or JSON, envoy.config.bootstrap.v3.Bootstrap): the
// clusters of its static_resources, as if a control plane had told them. Fields that are not known are passed over, as
// Envoy's listeners and filters are. A fault leaves all as it was; the error is one line.
func (f *Client) LoadBootstrap(now control.Micros, text []byte) error {
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
	for _, c := range b.GetStaticResources().GetClusters() {
		any, err := anypb.New(c)
		if err != nil {
			return err
		}
		r.Resources = append(r.Resources, any)
	}
	f.members.SourceUp(now)
	if _, err := f.applyFull(now, r); err != nil {
		return err
	}
	return nil
}

func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }
