package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"hollymast/control"
	"hollymast/internal/fleet"
	"hollymast/internal/inifile"
	"hollymast/internal/membership"
	"hollymast/internal/xds"
)

// follow looks at the list's file now and again, and when asked. A bad file is refused with its reasons and the old
// list stays.
func (g *Gateway) followEndpoints(ctx context.Context) {
	if g.config.ControlPlane != "" {
		g.followControlPlane(ctx)
		return
	}
	file, take, tick := g.config.EndpointFile, g.readEndpointFile, func() {}
	if g.config.EnvoyFile != "" {
		file = g.config.EnvoyFile
		take, tick = g.envoyFileReader()
	}
	ticker := time.NewTicker(g.config.EndpointFileInterval)
	defer ticker.Stop()
	var seen []byte
	missing, taken := false, false
	for {
		looked := g.now()
		text, err := os.ReadFile(file)
		switch {
		case err != nil && !missing:
			missing = true
			g.log.Error().Err(err).Msg("the list of servers can't be read: the old one stands")
		case err == nil && (seen == nil || missing || !bytes.Equal(text, seen)):
			missing = false
			seen = text
			taken = take(text)
		}
		tick()
		if err == nil && taken {
			g.sourceCompleteAsOf.Store(int64(looked))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case looked := <-g.sourceReads:
			asOf := g.now()
			text, err := os.ReadFile(file)
			if err == nil && !bytes.Equal(text, seen) {
				seen = text
				taken = take(text)
			}
			if err == nil && taken {
				g.sourceCompleteAsOf.Store(int64(asOf))
			}
			close(looked)
		}
	}
}

// followPlane follows a control plane in the place of a file. While nothing was heard of it the router takes no jobs.
func (g *Gateway) followControlPlane(ctx context.Context) {
	members := membership.New(membership.DefaultBounds)
	f := xds.NewClient(members, fmt.Sprintf("hollymast-%d", g.config.Deployment.Number), g.config.Zone, g.config.DeltaXDS, xds.DefaultBounds)
	source := xds.Transport{Address: g.config.ControlPlane, Credentials: g.credentials(xdsConnections), Delta: g.config.DeltaXDS, Seed: uint64(g.epoch), Now: g.now, Refresh: g.sourceReads,
		Grace: g.config.GracePeriod, OnComplete: func(asOf control.Micros) { g.sourceCompleteAsOf.Store(int64(asOf)) },
		OnUpdate: func(now control.Micros) {
			if list, news := members.TakeUpdate(now); news {
				if g.loadReporter != nil {
					g.loadReporter.update(members.Servers(), f.ServiceNames())
				}
				g.queue.PostEndpoints(func(now control.Micros) { g.handleUpdate(now, list) })
			}
		},
		Log: func(text string) { g.log.Info().Msg("xds: " + text) }}
	if err := source.Run(ctx, f); err != nil {
		g.log.Error().Err(err).Msg("xds: the control plane can't be followed")
	}
}

// bootstrap gives what takes in the texts of a file in Envoy's own form, and what ends what waits there.
func (g *Gateway) envoyFileReader() (take func(text []byte) bool, tick func()) {
	members := membership.New(membership.DefaultBounds)
	f := xds.NewClient(members, "", g.config.Zone, false, xds.DefaultBounds)
	tell := func() {
		for _, note := range f.TakeLogLines() {
			g.log.Info().Msg("xds: " + note)
		}
		if list, news := members.TakeUpdate(g.now()); news {
			g.queue.PostEndpoints(func(now control.Micros) { g.handleUpdate(now, list) })
		}
	}
	take = func(text []byte) bool {
		err := f.LoadBootstrap(g.now(), text)
		if err != nil {
			g.log.Error().Str("file", g.config.EnvoyFile).Err(err).Msg("the new list is refused: the old one stands")
		}
		tell()
		return err == nil
	}
	return take, func() {
		f.Tick(g.now())
		tell()
	}
}

// take tells the turn of a list's text, unless it is refused.
func (g *Gateway) readEndpointFile(text []byte) bool {
	f, err := inifile.Parse(g.config.EndpointFile, text)
	list := fleet.Update{Full: true}
	if err == nil {
		list.Endpoints, err = ParseEndpoints(f)
	}
	if err != nil {
		var faults *inifile.ValidationError
		if errors.As(err, &faults) {
			g.log.Error().Strs("faults", faults.Problems).Msg("the new list is refused: the old one stands")
		} else {
			g.log.Error().Str("fault", strings.TrimSpace(err.Error())).Msg("the new list is refused: the old one stands")
		}
		return false
	}
	g.queue.PostEndpoints(func(now control.Micros) { g.handleUpdate(now, list) })
	return true
}

// listed passes on what a list tells, all or what changed, and takes back what is on its way to servers that take nothing new.
func (g *Gateway) handleUpdate(now control.Micros, update fleet.Update) {
	if update.Full {
		g.core.UpdateEndpoints(now, control.FullUpdate, g.fleet.FullUpdate(now, update.Endpoints))
		for id := range g.pools {
			g.refreshPool(id)
		}
	} else {
		changed := g.fleet.IncrementalUpdate(now, update.Endpoints)
		g.core.UpdateEndpoints(now, control.IncrementalUpdate, changed)
		for _, l := range changed {
			if g.pools[l.Server] != nil {
				g.refreshPool(l.Server)
			}
		}
	}
	servers, ready := g.fleet.Count()
	g.metrics.servers.Set(float64(ready))
	if !g.stopping {
		g.ready.Store(true)
	}
	g.log.Info().Int("servers", servers).Int("ready", ready).Msg("list of servers taken")
}

// relist takes back what is on its way to a server, if it takes nothing new.
func (g *Gateway) refreshPool(id control.ServerID) {
	if s := g.fleet.Get(id); s == nil || s.State != control.Ready {
		g.withdrawFrom(id)
	}
}

// Refresh has the list read again at once.
func (g *Gateway) RefreshEndpoints() {
	g.readRequested.Store(true)
	g.post(func(control.Micros) {})
}

// SubscribeEndpoints has the list looked at; it is followed in any case.
func (g *Gateway) SubscribeEndpoints() {}

var errNoEndpoints = errors.New("no list of servers could be read yet")

// ReadList reads a list of servers: a section for each, with its address, state, zone, cell, power and start.
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
