package gateway

import (
	"encoding/json"
	"errors"
	"net/url"
	"strings"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/program"
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

// decision is one thing that the core asked for.
type decision struct {
	At       control.Micros `json:"At"`
	Decision string         `json:"Decision"`
}

// recent keeps the last deeds: as many as fill some screens.
type decisionLog struct {
	entries [256]struct {
		at   control.Micros
		deed record.Command
	}
	n int
}

func (r *decisionLog) add(at control.Micros, d record.Command) {
	x := &r.entries[r.n%len(r.entries)]
	x.at, x.deed = at, d
	r.n++
}

func (r *decisionLog) list() []decision {
	var decisions []decision
	for i := max(0, r.n-len(r.entries)); i < r.n; i++ {
		x := &r.entries[i%len(r.entries)]
		decisions = append(decisions, decision{x.at, x.deed.String()})
	}
	return decisions
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

// afterTurn has a function called right after the next turn, when no news waits for its decisions.
func (g *Gateway) afterStep(f func(now control.Micros)) {
	g.post(func(control.Micros) { g.afterStepFuncs = append(g.afterStepFuncs, f) })
}

func (g *Gateway) recordHeader() record.Header {
	return record.Header{Build: program.BuildID(), Router: g.config.Deployment.Number, Incarnation: g.incarnation}
}

var errRecording = errors.New("a recording is under way")

// startRecording begins a recording in a folder. To open the folder may wait for a disk, once, at an operator's word.
func (g *Gateway) startRecording(now control.Micros, folder string) error {
	if g.recordWriter != nil {
		return errRecording
	}
	if folder == "" {
		return errors.New("no folder is named, here or in the settings")
	}
	header := g.recordHeader()
	if g.recordingCount++; g.recordingCount > 1 {
		header.Incarnation += "r" + string(rune('a'+g.recordingCount%26))
	}
	writer, err := record.Open(folder, g.config.RecordBounds, header, g.core.Snapshot, g.log)
	if err != nil {
		return err
	}
	g.recordWriter = writer
	g.recorder = writer.Recorder()
	g.core.SetRecorder(g.recorder)
	writer.BeginSegment(now)
	return nil
}
