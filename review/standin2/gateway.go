package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// gatewaySettings are the settings of one gateway of a small deployment; the figures are those of kent-plant where its page has them.
type gatewaySettings struct {
	number, routers int
	workloads       string // sections [workload ...] and [function ...]
	servers         string // further lines of the section [servers]
}

// gateway is a gateway that was started.
type gateway struct {
	*process
	listen, admin string
}

// startGateway starts a gateway with a folder of its own and waits until it is ready. A gateway that was started before is started again at
// the same addresses and with the same folder.
func (s *scene) startGateway(settings gatewaySettings, list string, before *gateway) *gateway {
	g := before
	if g == nil {
		g = &gateway{listen: freeAddress(), admin: freeAddress()}
	}
	name := fmt.Sprintf("gateway-%d", settings.number)
	path := s.file(name+".ini", fmt.Sprintf(`[router]
listen = %s
admin = %s
number = %d
routers = %d
zone = kent
list = %s
log = debug
[servers]
executions = 3
keep_alive = 9s
cold_from = 0.25
cold = 10s
fall = 1s
fall_multiple = 4
grace = 500ms
%s
[clients]
mark_repeats = yes
stay_away = 2s
[memory]
folder = %s
marks_for = 10m
%s`, g.listen, g.admin, settings.number, settings.routers, list, settings.servers, s.dir+"/"+name, settings.workloads))
	g.process = s.start(name, nil, "bin/hollymast", "serve", path)
	await(name+" ready", 10*time.Second, func() bool {
		resp, err := http.Get("http://" + g.admin + "/v2/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
	s.note("%s serves at %s", name, g.listen)
	return g
}

// listedWorker is a worker in an endpoint list.
type listedWorker struct {
	address, cell string
	born          time.Time
}

// endpointList writes the endpoint list of the gateways.
func (s *scene) endpointList(workers ...listedWorker) string {
	var text strings.Builder
	for i, w := range workers {
		fmt.Fprintf(&text, "[host %d]\naddress = %s\nstate = ready\nzone = kent\ncell = %s\nborn = %s\n",
			i+1, w.address, w.cell, w.born.UTC().Format(time.RFC3339Nano))
	}
	return s.file("workers.ini", text.String())
}

// callLine returns a line of a file of calls for hmcall.
func callLine(model, effect, key string) string {
	return fmt.Sprintf(`{"model":%q,"effect":%q,"mark":%q}`+"\n", model, effect, key)
}
