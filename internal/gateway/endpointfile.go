package gateway

import (
	"bytes"
	"context"
	"errors"
	"os"
	"strings"
	"time"

	"hollymast/control"
	"hollymast/internal/fleet"
	"hollymast/internal/inifile"
	"hollymast/internal/membership"
	"hollymast/internal/xds"
)

// followEndpoints follows the configured source of endpoints until ctx ends.
func (g *Gateway) followEndpoints(ctx context.Context) {
	if g.config.ControlPlane != "" {
		g.followControlPlane(ctx)
		return
	}
	w := &endpointFileWatcher{gateway: g, file: g.config.EndpointFile, parser: &iniEndpoints{gateway: g}}
	if g.config.EnvoyFile != "" {
		w.file, w.parser = g.config.EnvoyFile, newEnvoyEndpoints(g)
	}
	w.run(ctx)
}

// endpointParser handles the text of an endpoint file.
type endpointParser interface {
	// parse posts a file's endpoints to the event loop; false if it is invalid, and the old list stays in force.
	parse(text []byte) (valid bool)
	// tick posts what has become due.
	tick()
}

// endpointFileWatcher reads an endpoint file at an interval, and when the event loop requests it.
type endpointFileWatcher struct {
	gateway *Gateway
	file    string
	parser  endpointParser
	text    []byte // as last read
	valid   bool   // text was valid
	missing bool   // the file could not be read last time
}

// run reads the file until ctx ends.
func (w *endpointFileWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(w.gateway.config.EndpointFileInterval)
	defer ticker.Stop()
	for {
		w.poll()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case done := <-w.gateway.sourceReads:
			w.readNow()
			close(done)
		}
	}
}

// poll reads the file, and logs once that it can't be read.
func (w *endpointFileWatcher) poll() {
	asOf := w.gateway.loop.Now()
	text, err := os.ReadFile(w.file)
	switch {
	case err != nil && !w.missing:
		w.missing = true
		w.gateway.log.Error().Err(err).Msg("endpoint file can't be read: the old list stays in force")
	case err == nil && (w.text == nil || w.missing || !bytes.Equal(text, w.text)):
		w.missing = false
		w.text, w.valid = text, w.parser.parse(text)
	}
	w.parser.tick()
	w.complete(asOf, err)
}

// readNow reads the file for a step that waits for it.
func (w *endpointFileWatcher) readNow() {
	asOf := w.gateway.loop.Now()
	text, err := os.ReadFile(w.file)
	if err == nil && !bytes.Equal(text, w.text) {
		w.text, w.valid = text, w.parser.parse(text)
	}
	w.complete(asOf, err)
}

// complete records that the list is complete as of a time, unless the file could not be read or is invalid.
func (w *endpointFileWatcher) complete(asOf control.Micros, err error) {
	if err == nil && w.valid {
		w.gateway.sourceCompleteAsOf.Store(int64(asOf))
	}
}

// iniEndpoints handles an endpoint file in this router's own form.
type iniEndpoints struct{ gateway *Gateway }

func (p *iniEndpoints) tick() {}

func (p *iniEndpoints) parse(text []byte) (valid bool) {
	g := p.gateway
	file, err := inifile.Parse(g.config.EndpointFile, text)
	update := fleet.Update{Full: true}
	if err == nil {
		update.Endpoints, err = ParseEndpoints(file)
	}
	var invalid *inifile.ValidationError
	switch {
	case errors.As(err, &invalid):
		g.log.Error().Strs("faults", invalid.Problems).Msg("invalid endpoint file: the old list stays in force")
	case err != nil:
		g.log.Error().Str("fault", strings.TrimSpace(err.Error())).Msg("invalid endpoint file: the old list stays in force")
	default:
		g.loop.PostEndpoints(func(now control.Micros) { g.handleUpdate(now, update) })
	}
	return err == nil
}

// envoyEndpoints handles an endpoint file in Envoy's bootstrap form.
type envoyEndpoints struct {
	gateway *Gateway
	members *membership.Model
	client  *xds.Client
}

func newEnvoyEndpoints(g *Gateway) *envoyEndpoints {
	members := membership.New(membership.DefaultBounds)
	return &envoyEndpoints{
		gateway: g, members: members, client: xds.NewClient(members, "", g.config.Zone, xds.StateOfTheWorld, xds.DefaultBounds),
	}
}

func (p *envoyEndpoints) parse(text []byte) (valid bool) {
	g := p.gateway
	err := p.client.LoadBootstrap(g.loop.Now(), text)
	if err != nil {
		g.log.Error().Str("file", g.config.EnvoyFile).Err(err).Msg("invalid endpoint file: the old list stays in force")
	}
	p.post()
	return err == nil
}

func (p *envoyEndpoints) tick() {
	p.client.Tick(p.gateway.loop.Now())
	p.post()
}

// post logs what the client has noted, and posts a changed list to the event loop.
func (p *envoyEndpoints) post() {
	g := p.gateway
	for _, line := range p.client.TakeLogLines() {
		g.log.Info().Msg("xds: " + line)
	}
	if update, changed := p.members.TakeUpdate(g.loop.Now()); changed {
		g.loop.PostEndpoints(func(now control.Micros) { g.handleUpdate(now, update) })
	}
}

// ParseEndpoints reads an endpoint list: a section for each server, with its address, state, zone, cell, power (its
// weight) and born (when it started). An *inifile.ValidationError names every problem with file, line and key.
func ParseEndpoints(f *inifile.File) ([]fleet.Endpoint, error) {
	var list []fleet.Endpoint
	first := map[string]string{}
	for _, s := range f.Sections("") {
		e := fleet.Endpoint{Address: parseAddress(s, "address", ""), Zone: s.String("zone", ""), Cell: s.String("cell", ""),
			Weight: s.Float("power", 1, 0.001, 1e6),
			State:  control.ServerState(1 + s.OneOf("state", "ready", "draining", "ready"))}
		if born := s.String("born", ""); born != "" {
			at, err := time.Parse(time.RFC3339Nano, born)
			if err != nil || at.UnixMicro() <= 0 {
				s.Errorf("born", "%q is no time as in 2026-07-01T06:30:00Z", born)
			}
			e.StartedAt = at.UnixMicro()
		}
		if other, twice := first[e.Address]; twice {
			s.Errorf("address", "also that of [%s]", other)
		}
		first[e.Address] = s.Name
		list = append(list, e)
	}
	return list, f.Check()
}
