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

// operate answers what operators ask of a router at its admin address:
//
//	GET  /router/state                     beliefs, list, jobs in hand and the last decisions, as JSON
//	GET  /router/snapshot                  the same as a recording of no turns, for hmexplain and hmprobe
//	GET  /router/loads                     what routers that follow our view report of servers, as JSON
//	POST /router/record/start?folder=DIR   begins a recording, by default in the folder of the settings
//	POST /router/record/stop               ends it
func (g *Gateway) serveAdmin(msg *rest.Request) *rest.Response {
	path, query, _ := strings.Cut(strings.TrimPrefix(msg.Target, "/router/"), "?")
	switch {
	case msg.Method == "GET" && path == "state":
		return g.inLoop(func(control.Micros) *rest.Response {
			s, err := g.core.Snapshot()
			if err != nil {
				return errorResponse(500, err.Error())
			}
			b, err := json.Marshal(adminState{s, g.decisions.list()})
			if err != nil {
				return errorResponse(500, err.Error())
			}
			return jsonResponse(200, b)
		})
	case msg.Method == "GET" && path == "snapshot":
		return g.inLoop(func(now control.Micros) *rest.Response {
			s, err := g.core.Snapshot()
			if err == nil {
				var b []byte
				if b, err = record.SnapshotSegment(g.recordHeader(), now, s); err == nil {
					return &rest.Response{Status: 200, Header: rest.Header{"Content-Type": {"application/octet-stream"}}, Body: b}
				}
			}
			return errorResponse(500, err.Error())
		})
	case msg.Method == "GET" && path == "loads":
		return g.followersReports()
	case msg.Method == "POST" && path == "record/start":
		values, err := url.ParseQuery(query)
		if err != nil {
			return errorResponse(400, "the query can't be read")
		}
		folder := values.Get("folder")
		if folder == "" {
			folder = g.config.RecordDir
		}
		return g.inLoop(func(now control.Micros) *rest.Response {
			if err := g.startRecording(now, folder); err != nil {
				return errorResponse(409, err.Error())
			}
			return jsonResponse(200, []byte(`{"recording":true}`))
		})
	case msg.Method == "POST" && path == "record/stop":
		var ended *record.Writer
		resp := g.inLoop(func(control.Micros) *rest.Response {
			if g.recordWriter == nil {
				return errorResponse(409, "nothing is being recorded")
			}
			g.core.SetRecorder(nil)
			ended, g.recordWriter, g.recorder = g.recordWriter, nil, nil
			return jsonResponse(200, []byte(`{"recording":false}`))
		})
		if ended != nil {
			ended.Close() // waits for the disk, so not within the turn
		}
		return resp
	}
	return errorResponse(404, "no such call: "+msg.Target)
}

// operatorsView is what /router/state tells.
type adminState struct {
	*core.Snapshot
	Last []decision `json:"Last"` // oldest first
}

// within runs a function between two turns and waits for it.
func (g *Gateway) inLoop(f func(now control.Micros) *rest.Response) *rest.Response {
	done := make(chan *rest.Response, 1)
	g.afterStep(func(now control.Micros) { done <- f(now) })
	select {
	case resp := <-done:
		return resp
	case <-g.loopEnded:
		return errorResponse(503, "this router is stopping")
	}
}
