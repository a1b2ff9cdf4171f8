package gateway

import (
	"encoding/json"
	"net/url"
	"strings"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/record"
	"hollymast/internal/rest"
)

// serveAdmin answers the operators' calls at the admin address:
//
//	GET  /router/state                     the balancer's state, endpoints, requests in flight and latest decisions, as JSON
//	GET  /router/snapshot                  the same as a recording without steps, for hmexplain and hmprobe
//	GET  /router/loads                     the loads that followers of this router's view report, as JSON
//	POST /router/record/start?folder=DIR   starts a recording, by default in the configured folder
//	POST /router/record/stop               ends it
func (g *Gateway) serveAdmin(msg *rest.Request) *rest.Response {
	path, query, _ := strings.Cut(strings.TrimPrefix(msg.Target, "/router/"), "?")
	switch msg.Method + " " + path {
	case "GET state":
		return g.inLoop(g.serveState)
	case "GET snapshot":
		return g.inLoop(g.serveSnapshot)
	case "GET loads":
		return g.serveFollowersLoads()
	case "POST record/start":
		return g.serveRecordStart(query)
	case "POST record/stop":
		return g.serveRecordStop()
	}
	return errorResponse(404, "no such call: "+msg.Target)
}

// adminState is the answer of /router/state.
type adminState struct {
	*core.Snapshot
	Last []decision `json:"Last"` // oldest first
}

func (g *Gateway) serveState(control.Micros) *rest.Response {
	snapshot, err := g.core.Snapshot()
	if err != nil {
		return errorResponse(500, err.Error())
	}
	body, err := json.Marshal(adminState{snapshot, g.decisions.list()})
	if err != nil {
		return errorResponse(500, err.Error())
	}
	return jsonResponse(200, body)
}

func (g *Gateway) serveSnapshot(now control.Micros) *rest.Response {
	snapshot, err := g.core.Snapshot()
	if err != nil {
		return errorResponse(500, err.Error())
	}
	body, err := record.EncodeSnapshot(g.recordHeader(), now, snapshot)
	if err != nil {
		return errorResponse(500, err.Error())
	}
	return &rest.Response{Status: 200, Header: rest.Header{"Content-Type": {"application/octet-stream"}}, Body: body}
}

func (g *Gateway) serveRecordStart(query string) *rest.Response {
	values, err := url.ParseQuery(query)
	if err != nil {
		return errorResponse(400, "the query can't be read")
	}
	dir := values.Get("folder")
	if dir == "" {
		dir = g.config.RecordDir
	}
	return g.inLoop(func(now control.Micros) *rest.Response {
		if err := g.startRecording(now, dir); err != nil {
			return errorResponse(409, err.Error())
		}
		return jsonResponse(200, []byte(`{"recording":true}`))
	})
}

func (g *Gateway) serveRecordStop() *rest.Response {
	ended := make(chan *record.Writer, 1)
	resp := g.inLoop(func(control.Micros) *rest.Response {
		writer := g.stopRecording()
		if writer == nil {
			return errorResponse(409, "nothing is being recorded")
		}
		ended <- writer
		return jsonResponse(200, []byte(`{"recording":false}`))
	})
	select {
	case writer := <-ended:
		writer.Close() // waits for the disk, so not within the step
	default:
	}
	return resp
}

// inLoop runs a function on the event loop between two steps, and waits for its response.
func (g *Gateway) inLoop(f func(now control.Micros) *rest.Response) *rest.Response {
	done := make(chan *rest.Response, 1)
	g.afterStep(func(now control.Micros) { done <- f(now) })
	select {
	case resp := <-done:
		return resp
	case <-g.loopEnded:
		return errorResponse(503, reasonStopping)
	}
}
