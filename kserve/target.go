package kserve

import (
	"errors"
	"net/http"
	"net/url"
	"strings"
)

// Operation is an operation of the protocol.
type Operation uint8

// The operations of the protocol and of the model repository extension.
const (
	ServerLive Operation = iota
	ServerReady
	ServerMetadata
	ModelReady
	ModelMetadata
	Infer
	RepositoryIndex
	RepositoryLoad
	RepositoryUnload
)

// Call is what the method and target of a request name.
type Call struct {
	Operation Operation
	Model     string // empty: the operation has none
	Version   string // empty: none is named
}

// Errors of ReadTarget.
var (
	ErrUnknownPath      = errors.New("no such call")                     // the path is none of the protocol's
	ErrMethodNotAllowed = errors.New("the method does not fit the call") // but the path is one
)

// maxName bounds a model's name or version, in bytes: file systems end at about as many.
const maxName = 256

// ParseTarget reads a request's method and target; a query is ignored. It returns ErrNoSuchCall, or ErrMethod with the call.
func ParseTarget(method, target string) (Call, error) {
	path, _, _ := strings.Cut(target, "?")
	if path == "/v2" || path == "/v2/" {
		return requireGet(method, Call{Operation: ServerMetadata})
	}
	rest, ok := strings.CutPrefix(path, "/v2/")
	if !ok {
		return Call{}, ErrUnknownPath
	}
	parts, ok := splitPath(rest)
	if !ok {
		return Call{}, ErrUnknownPath
	}
	switch {
	case rest == "health/live":
		return requireGet(method, Call{Operation: ServerLive})
	case rest == "health/ready":
		return requireGet(method, Call{Operation: ServerReady})
	case rest == "repository/index":
		return requirePost(method, Call{Operation: RepositoryIndex})
	case len(parts) == 4 && parts[0] == "repository" && parts[1] == "models" && parts[3] == "load":
		return requirePost(method, Call{Operation: RepositoryLoad, Model: parts[2]})
	case len(parts) == 4 && parts[0] == "repository" && parts[1] == "models" && parts[3] == "unload":
		return requirePost(method, Call{Operation: RepositoryUnload, Model: parts[2]})
	case len(parts) >= 2 && parts[0] == "models":
		return readModelTarget(method, parts[1], parts[2:])
	}
	return Call{}, ErrUnknownPath
}

// splitPath unescapes the parts of a path. It rejects empty and overlong ones, and bytes that could break a header or a log
// line on the way to a server.
func splitPath(path string) (parts []string, ok bool) {
	parts = strings.Split(path, "/")
	for i, part := range parts {
		name, err := url.PathUnescape(part)
		if err != nil || name == "" || len(name) > maxName || strings.ContainsAny(name, "\r\n\x00") {
			return nil, false
		}
		parts[i] = name
	}
	return parts, true
}

// readModelTarget reads what follows a model's name.
func readModelTarget(method, model string, tail []string) (Call, error) {
	c := Call{Operation: ModelMetadata, Model: model}
	if len(tail) >= 2 && tail[0] == "versions" {
		c.Version, tail = tail[1], tail[2:]
	}
	switch {
	case len(tail) == 0:
		return requireGet(method, c)
	case len(tail) == 1 && tail[0] == "ready":
		c.Operation = ModelReady
		return requireGet(method, c)
	case len(tail) == 1 && tail[0] == "infer":
		c.Operation = Infer
		return requirePost(method, c)
	}
	return Call{}, ErrUnknownPath
}

func requireGet(method string, c Call) (Call, error) {
	if method != http.MethodGet && method != http.MethodHead {
		return c, ErrMethodNotAllowed
	}
	return c, nil
}

func requirePost(method string, c Call) (Call, error) {
	if method != http.MethodPost {
		return c, ErrMethodNotAllowed
	}
	return c, nil
}

// Target returns the path of a call, the opposite of ReadTarget.
func (c Call) Target() string {
	model := "/v2/models/" + url.PathEscape(c.Model)
	if c.Version != "" {
		model += "/versions/" + url.PathEscape(c.Version)
	}
	switch c.Operation {
	case ServerLive:
		return "/v2/health/live"
	case ServerReady:
		return "/v2/health/ready"
	case ServerMetadata:
		return "/v2"
	case ModelReady:
		return model + "/ready"
	case Infer:
		return model + "/infer"
	case RepositoryIndex:
		return "/v2/repository/index"
	case RepositoryLoad:
		return "/v2/repository/models/" + url.PathEscape(c.Model) + "/load"
	case RepositoryUnload:
		return "/v2/repository/models/" + url.PathEscape(c.Model) + "/unload"
	}
	return model
}
