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

// serveAdmin answers the admin calls:
//
//	GET  /router/state                     balancer state, endpoints, requests in flight and latest decisions, as JSON
//	GET  /router/snapshot                  the same state as a recording without steps, for hmexplain and hmprobe
//	GET  /router/loads                     load reports from the followers of this router's view, as JSON
//	POST /router/record/start?folder=DIR   starts a recording, by default in the configured folder
//	POST /router/record/stop               stops the recording
func (g *Gateway) serveAdmin(msg *rest.Request) *rest.Response {
	path, query, _ := strings.Cut(strings.TrimPrefix(msg.Target, "/router/"), "?")
	switch msg.Method + " " + path {
	case "GET state":
		return g.respondFromLoop(g.serveState)
	case "GET snapshot":
		return g.respondFromLoop(g.serveSnapshot)
	case "GET loads":
		return g.serveFollowerLoads()
	case "POST record/start":
		return g.serveRecordStart(query)
	case "POST record/stop":
		return g.serveRecordStop()
	}
	return errorResponse(404, "no such call: "+msg.Target)
}

// adminState is the response body of /router/state.
type adminState struct {
	*core.Snapshot
	Decisions []decision `json:"Last"` // oldest first
}

func (g *Gateway) serveState(control.Micros) *rest.Response {
	snapshot, err := g.core.Snapshot()
	if err != nil {
		return errorResponse(500, err.Error())
	}
	body, err := json.Marshal(adminState{snapshot, g.latestDecisions.list()})
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
	return g.respondFromLoop(func(now control.Micros) *rest.Response {
		if err := g.startRecording(now, dir); err != nil {
			return errorResponse(409, err.Error())
		}
		return jsonResponse(200, []byte(`{"recording":true}`))
	})
}

func (g *Gateway) serveRecordStop() *rest.Response {
	ended := make(chan *record.Writer, 1)
	resp := g.respondFromLoop(func(control.Micros) *rest.Response {
		writer := g.stopRecording()
		if writer == nil {
			return errorResponse(409, "nothing is being recorded")
		}
		ended <- writer
		return jsonResponse(200, []byte(`{"recording":false}`))
	})
	select {
	case writer := <-ended:
		writer.Close() // waits for the disk, so it must not run within a step
	default:
	}
	return resp
}

// respondFromLoop runs a function on the event loop after a step, and returns its response.
func (g *Gateway) respondFromLoop(f func(now control.Micros) *rest.Response) *rest.Response {
	done := make(chan *rest.Response, 1)
	g.afterStep(func(now control.Micros) { done <- f(now) })
	select {
	case resp := <-done:
		return resp
	case <-g.loopEnded:
		return errorResponse(503, reasonStopping)
	}
}
