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
func (g *Gateway) operate(q *rest.Request) *rest.Response {
	path, query, _ := strings.Cut(strings.TrimPrefix(q.Target, "/router/"), "?")
	switch {
	case q.Method == "GET" && path == "state":
		return g.within(func(control.Micros) *rest.Response {
			s, err := g.core.Snapshot()
			if err != nil {
				return fault(500, err.Error())
			}
			b, err := json.Marshal(operatorsView{s, g.recent.list()})
			if err != nil {
				return fault(500, err.Error())
			}
			return object(200, b)
		})
	case q.Method == "GET" && path == "snapshot":
		return g.within(func(now control.Micros) *rest.Response {
			s, err := g.core.Snapshot()
			if err == nil {
				var b []byte
				if b, err = record.SnapshotSegment(g.recordHead(), now, s); err == nil {
					return &rest.Response{Status: 200, Header: rest.Header{"Content-Type": {"application/octet-stream"}}, Body: b}
				}
			}
			return fault(500, err.Error())
		})
	case q.Method == "GET" && path == "loads":
		return g.others()
	case q.Method == "POST" && path == "record/start":
		values, err := url.ParseQuery(query)
		if err != nil {
			return fault(400, "the query can't be read")
		}
		folder := values.Get("folder")
		if folder == "" {
			folder = g.told.RecordDir
		}
		return g.within(func(now control.Micros) *rest.Response {
			if err := g.startRecording(now, folder); err != nil {
				return fault(409, err.Error())
			}
			return object(200, []byte(`{"recording":true}`))
		})
	case q.Method == "POST" && path == "record/stop":
		var ended *record.Writer
		p := g.within(func(control.Micros) *rest.Response {
			if g.writer == nil {
				return fault(409, "nothing is being recorded")
			}
			g.core.SetRecorder(nil)
			ended, g.writer, g.tape = g.writer, nil, nil
			return object(200, []byte(`{"recording":false}`))
		})
		if ended != nil {
			ended.Close() // waits for the disk, so not within the turn
		}
		return p
	}
	return fault(404, "no such call: "+q.Target)
}

// operatorsView is what /router/state tells.
type operatorsView struct {
	*core.Snapshot
	Last []decision `json:"Last"` // oldest first
}

// decision is one thing that the core asked for.
type decision struct {
	At       control.Micros `json:"At"`
	Decision string         `json:"Decision"`
}

// recent keeps the last deeds: as many as fill some screens.
type recent struct {
	deeds [256]struct {
		at   control.Micros
		deed record.Command
	}
	n int
}

func (r *recent) add(at control.Micros, d record.Command) {
	x := &r.deeds[r.n%len(r.deeds)]
	x.at, x.deed = at, d
	r.n++
}

func (r *recent) list() []decision {
	var ds []decision
	for i := max(0, r.n-len(r.deeds)); i < r.n; i++ {
		x := &r.deeds[i%len(r.deeds)]
		ds = append(ds, decision{x.at, x.deed.String()})
	}
	return ds
}

// within runs a function between two turns and waits for it.
func (g *Gateway) within(f func(now control.Micros) *rest.Response) *rest.Response {
	done := make(chan *rest.Response, 1)
	g.afterTurn(func(now control.Micros) { done <- f(now) })
	select {
	case p := <-done:
		return p
	case <-g.ended:
		return fault(503, "this router is stopping")
	}
}

// afterTurn has a function called right after the next turn, when no news waits for its decisions.
func (g *Gateway) afterTurn(f func(now control.Micros)) {
	g.tell(func(control.Micros) { g.between = append(g.between, f) })
}

func (g *Gateway) recordHead() record.Header {
	return record.Header{Build: program.BuildID(), Router: g.told.Deployment.Number, Incarnation: g.run}
}

var errRecording = errors.New("a recording is under way")

// startRecording begins a recording in a folder. To open the folder may wait for a disk, once, at an operator's word.
func (g *Gateway) startRecording(now control.Micros, folder string) error {
	if g.writer != nil {
		return errRecording
	}
	if folder == "" {
		return errors.New("no folder is named, here or in the settings")
	}
	head := g.recordHead()
	if g.recordings++; g.recordings > 1 {
		head.Incarnation += "r" + string(rune('a'+g.recordings%26))
	}
	w, err := record.Open(folder, g.told.RecordBounds, head, g.core.Snapshot, g.log)
	if err != nil {
		return err
	}
	g.writer = w
	g.tape = w.Recorder()
	g.core.SetRecorder(g.tape)
	w.BeginSegment(now)
	return nil
}
