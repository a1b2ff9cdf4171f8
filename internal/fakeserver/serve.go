package fakeserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"hollymast/control"
	"hollymast/internal/modelserver"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// serveConn answers a connection's requests until either side ends it.
func (s *Server) serveConn(incarnation context.Context, accepted net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, accepted)
		s.mu.Unlock()
		accepted.Close()
	}()
	secured := accepted
	if s.config.Handshake != nil {
		var err error
		if secured, err = s.config.Handshake(accepted); err != nil {
			return
		}
	}
	conn := rest.NewConn(secured, &rest.DefaultLimits, nil)
	for {
		request, err := conn.ReadRequest()
		var untrusted *rest.PeerUntrustedError
		if errors.As(err, &untrusted) && incarnation.Err() == nil {
			response := s.newResponse(http.StatusServiceUnavailable, kserve.ErrorBody{Error: untrusted.Error()}.JSON())
			response.Close = true
			conn.WriteResponse(response)
		}
		if err != nil || incarnation.Err() != nil {
			return
		}
		response := s.handle(incarnation, request)
		if response == nil || conn.WriteResponse(response) != nil {
			return
		}
	}
}

// handle answers one request; nil breaks the connection.
func (s *Server) handle(incarnation context.Context, request *rest.Request) *rest.Response {
	call, err := kserve.ParseTarget(request.Method, request.Target)
	if err != nil {
		return s.newResponse(http.StatusNotFound, kserve.ErrorBody{Error: err.Error()}.JSON())
	}
	switch call.Operation {
	case kserve.Infer:
		return s.infer(incarnation, call, request)
	case kserve.RepositoryLoad:
		return s.load(incarnation, call, request)
	case kserve.RepositoryIndex:
		return s.newResponse(http.StatusOK, s.index())
	}
	return s.newResponse(http.StatusOK, []byte(`{"live":true,"ready":true}`))
}

// cacheStatusWords are the public interface's words for what a request found.
var cacheStatusWords = map[control.CacheStatus]string{control.CacheHit: "warm", control.CacheMiss: "began", control.CacheLoading: "joined"}

func (s *Server) infer(incarnation context.Context, call kserve.Call, request *rest.Request) *rest.Response {
	fields := gjson.GetManyBytes(request.Body, "id", "parameters.effect")
	attempt := modelserver.Request{ID: fields[0].Str, Effect: fields[1].Str, Router: routerNumber(request), Function: call.Model,
		IdempotencyKey: request.Header.Get(kserve.IdempotencyKeyHeader)}
	r := s.await(incarnation, func(respond func(modelserver.Response)) { s.model.Infer(attempt, respond) })
	if r.Result != modelserver.Succeeded {
		return failure(r)
	}
	body := fmt.Appendf(nil, `{"model_name":"m","id":%q,"parameters":{"found":%q},"outputs":[]}`, attempt.ID, cacheStatusWords[r.CacheStatus])
	return newResponse(http.StatusOK, body, r.LoadReport)
}

func (s *Server) load(incarnation context.Context, call kserve.Call, request *rest.Request) *rest.Response {
	replicas := int(gjson.GetBytes(request.Body, "parameters.copies").Int())
	r := s.await(incarnation, func(respond func(modelserver.Response)) {
		s.model.Load(call.Model, replicas, routerNumber(request), respond)
	})
	if r.Result != modelserver.Succeeded {
		return failure(r)
	}
	return newResponse(http.StatusOK, kserve.LoadCommandBody(r.Replicas), r.LoadReport)
}

// await begins an exchange with the model and waits for its end; a server that is killed before resets the connection.
func (s *Server) await(incarnation context.Context, begin func(respond func(modelserver.Response))) modelserver.Response {
	reset := modelserver.Response{Result: modelserver.ConnectionReset}
	ended := make(chan modelserver.Response, 1)
	s.mu.Lock()
	if incarnation.Err() != nil {
		s.mu.Unlock()
		return reset
	}
	begin(func(r modelserver.Response) { ended <- r })
	crashed := !s.model.Alive()
	s.mu.Unlock()
	if crashed {
		s.kill()
	}
	select {
	case r := <-ended:
		return r
	case <-incarnation.Done():
		return reset
	}
}

// failure answers an exchange that did not succeed; nil breaks the connection.
func failure(r modelserver.Response) *rest.Response {
	status := http.StatusServiceUnavailable
	switch r.Result {
	case modelserver.ConnectionReset:
		return nil
	case modelserver.NotLoaded:
		status = http.StatusNotFound
	}
	return newResponse(status, kserve.ErrorBody{Error: r.Reason}.JSON(), r.LoadReport)
}

// index lists the functions, as the model repository extension has it.
func (s *Server) index() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []kserve.IndexEntry{}
	for _, f := range s.model.Functions() {
		state := "LOADING"
		if f.Loaded {
			state = "READY"
		}
		list = append(list, kserve.IndexEntry{Name: f.Name, State: state})
	}
	b, _ := json.Marshal(list) // plain strings: can't fail
	return b
}

// routerNumber reads the number of the router that sent a request from the end of its Via header; 0 where there is none.
func routerNumber(request *rest.Request) int {
	via := request.Header.Get("Via")
	n, _ := strconv.Atoi(via[strings.LastIndexByte(via, '-')+1:])
	return n
}

// newResponse builds a response with the load report as it is now.
func (s *Server) newResponse(status int, body []byte) *rest.Response {
	s.mu.Lock()
	report := s.model.LoadReport()
	s.mu.Unlock()
	return newResponse(status, body, report)
}

func newResponse(status int, body []byte, report control.LoadReport) *rest.Response {
	load := kserve.LoadReport{Utilization: report.Utilization, PendingLoads: report.PendingLoads, PinnedMemory: report.PinnedMemory}
	return &rest.Response{Status: status, Header: rest.Header{"Content-Type": {"application/json"}, kserve.LoadMetricsHeader: {load.String()}}, Body: body}
}
