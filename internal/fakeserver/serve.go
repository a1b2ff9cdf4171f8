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

// serveConn serves a connection until either side closes it. ctx ends when the server is killed.
func (s *Server) serveConn(ctx context.Context, accepted net.Conn) {
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
		if errors.As(err, &untrusted) && ctx.Err() == nil {
			response := s.newResponse(http.StatusServiceUnavailable, kserve.ErrorBody{Error: untrusted.Error()}.JSON())
			response.Close = true
			conn.WriteResponse(response)
		}
		if err != nil || ctx.Err() != nil {
			return
		}
		response := s.handle(ctx, request)
		if response == nil || conn.WriteResponse(response) != nil {
			return
		}
	}
}

// handle returns the response to a request; nil means that the connection is to be broken.
func (s *Server) handle(ctx context.Context, request *rest.Request) *rest.Response {
	call, err := kserve.ParseTarget(request.Method, request.Target)
	if err != nil {
		return s.newResponse(http.StatusNotFound, kserve.ErrorBody{Error: err.Error()}.JSON())
	}
	switch call.Operation {
	case kserve.Infer:
		return s.infer(ctx, call, request)
	case kserve.RepositoryLoad:
		return s.load(ctx, call, request)
	case kserve.RepositoryIndex:
		return s.newResponse(http.StatusOK, s.index())
	}
	return s.newResponse(http.StatusOK, []byte(`{"live":true,"ready":true}`))
}

// cacheStatusNames are the values of the response parameter "found".
var cacheStatusNames = map[control.CacheStatus]string{control.CacheHit: "warm", control.CacheMiss: "began", control.CacheLoading: "joined"}

// infer runs an inference request and returns its response.
func (s *Server) infer(ctx context.Context, call kserve.Call, request *rest.Request) *rest.Response {
	fields := gjson.GetManyBytes(request.Body, "id", "parameters.effect")
	attempt := modelserver.Request{ID: fields[0].Str, Effect: fields[1].Str, Router: routerNumber(request), Function: call.Model,
		IdempotencyKey: request.Header.Get(kserve.IdempotencyKeyHeader)}
	r := s.runExchange(ctx, func(respond func(modelserver.Response)) { s.model.Infer(attempt, respond) })
	if r.Result != modelserver.Succeeded {
		return errorResponse(r)
	}
	body := fmt.Appendf(nil, `{"model_name":"m","id":%q,"parameters":{"found":%q},"outputs":[]}`, attempt.ID, cacheStatusNames[r.CacheStatus])
	return newResponse(http.StatusOK, body, r.LoadReport)
}

// load executes a load command and returns its response.
func (s *Server) load(ctx context.Context, call kserve.Call, request *rest.Request) *rest.Response {
	replicas := int(gjson.GetBytes(request.Body, "parameters.copies").Int())
	r := s.runExchange(ctx, func(respond func(modelserver.Response)) {
		s.model.Load(call.Model, replicas, routerNumber(request), respond)
	})
	if r.Result != modelserver.Succeeded {
		return errorResponse(r)
	}
	return newResponse(http.StatusOK, kserve.LoadCommandBody(r.Replicas), r.LoadReport)
}

// runExchange starts an exchange with the simulated server and waits for its end. If the server is killed first, the result is
// ConnectionReset.
func (s *Server) runExchange(ctx context.Context, start func(respond func(modelserver.Response))) modelserver.Response {
	reset := modelserver.Response{Result: modelserver.ConnectionReset}
	ended := make(chan modelserver.Response, 1)
	s.mu.Lock()
	if ctx.Err() != nil {
		s.mu.Unlock()
		return reset
	}
	start(func(r modelserver.Response) { ended <- r })
	crashed := !s.model.Alive()
	s.mu.Unlock()
	if crashed {
		s.kill()
	}
	select {
	case r := <-ended:
		return r
	case <-ctx.Done():
		return reset
	}
}

// errorResponse returns the response to an exchange that failed; nil means that the connection is to be broken.
func errorResponse(r modelserver.Response) *rest.Response {
	status := http.StatusServiceUnavailable
	switch r.Result {
	case modelserver.ConnectionReset:
		return nil
	case modelserver.NotLoaded:
		status = http.StatusNotFound
	}
	return newResponse(status, kserve.ErrorBody{Error: r.Reason}.JSON(), r.LoadReport)
}

// index returns the body of a repository index response (model repository extension).
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
	b, _ := json.Marshal(list) // cannot fail: only strings
	return b
}

// routerNumber returns the number of the router that sent a request, taken from the end of its Via header; 0 if there is none.
func routerNumber(request *rest.Request) int {
	via := request.Header.Get("Via")
	n, _ := strconv.Atoi(via[strings.LastIndexByte(via, '-')+1:])
	return n
}

// newResponse builds a response with the server's current load report.
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
