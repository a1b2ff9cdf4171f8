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

// followEndpoints follows the configured endpoint source until ctx ends.
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

// endpointParser parses an endpoint file and posts its endpoints to the event loop.
type endpointParser interface {
	// parse posts the endpoints of a file. It returns false if the file is invalid; the old list then stays in use.
	parse(text []byte) (valid bool)
	// tick posts changes that become due with time. It is called after every periodic read.
	tick()
}

// endpointFileWatcher reads an endpoint file periodically, and when the event loop requests it.
type endpointFileWatcher struct {
	gateway    *Gateway
	file       string
	parser     endpointParser
	text       []byte // of the last successful read
	valid      bool   // text is valid
	unreadable bool   // the last periodic read failed
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

// poll reads the file. It logs only the first of consecutive failed reads.
func (w *endpointFileWatcher) poll() {
	asOf := w.gateway.loop.Now()
	text, err := os.ReadFile(w.file)
	switch {
	case err != nil && !w.unreadable:
		w.unreadable = true
		w.gateway.log.Error().Err(err).Msg("endpoint file can't be read: the old list stays in use")
	case err == nil && (w.text == nil || w.unreadable || !bytes.Equal(text, w.text)):
		w.unreadable = false
		w.text, w.valid = text, w.parser.parse(text)
	}
	w.parser.tick()
	w.markComplete(asOf, err)
}

// readNow reads the file for a step that waits for the read.
func (w *endpointFileWatcher) readNow() {
	asOf := w.gateway.loop.Now()
	text, err := os.ReadFile(w.file)
	if err == nil && !bytes.Equal(text, w.text) {
		w.text, w.valid = text, w.parser.parse(text)
	}
	w.markComplete(asOf, err)
}

// markComplete records that the endpoint list was complete at asOf, unless the file could not be read or is invalid.
func (w *endpointFileWatcher) markComplete(asOf control.Micros, err error) {
	if err == nil && w.valid {
		w.gateway.sourceCompleteAsOf.Store(int64(asOf))
	}
}

// iniEndpoints parses an endpoint file in INI format (see ParseEndpoints).
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
		g.log.Error().Strs("faults", invalid.Problems).Msg("invalid endpoint file: the old list stays in use")
	case err != nil:
		g.log.Error().Str("fault", strings.TrimSpace(err.Error())).Msg("invalid endpoint file: the old list stays in use")
	default:
		g.loop.PostEndpoints(func(now control.Micros) { g.applyEndpointUpdate(now, update) })
	}
	return err == nil
}

// envoyEndpoints parses an Envoy bootstrap file.
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
		g.log.Error().Str("file", g.config.EnvoyFile).Err(err).Msg("invalid endpoint file: the old list stays in use")
	}
	p.post()
	return err == nil
}

func (p *envoyEndpoints) tick() {
	p.client.Tick(p.gateway.loop.Now())
	p.post()
}

// post writes the client's messages to the log, and posts a changed list to the event loop.
func (p *envoyEndpoints) post() {
	g := p.gateway
	for _, line := range p.client.TakeLogLines() {
		g.log.Info().Msg("xds: " + line)
	}
	if update, changed := p.members.TakeUpdate(g.loop.Now()); changed {
		g.loop.PostEndpoints(func(now control.Micros) { g.applyEndpointUpdate(now, update) })
	}
}

// ParseEndpoints reads an endpoint list with a section for each server. Its keys are address, state, zone, cell, power
// (the weight) and born (the time at which the server started). The error is an *inifile.ValidationError that lists
// every problem with file, line and key.
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
				s.Errorf("born", "%q is not a time like 2026-07-01T06:30:00Z", born)
			}
			e.StartedAt = at.UnixMicro()
		}
		if other, twice := first[e.Address]; twice {
			s.Errorf("address", "already used by [%s]", other)
		}
		first[e.Address] = s.Name
		list = append(list, e)
	}
	return list, f.Check()
}
