package kserve

import (
	"errors"
	"net/http"
	"net/url"
	"strings"
)

// Operation is an operation of the protocol.
type Operation uint8

// The operations of the protocol and its model repository extension.
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

// Call is the operation that the method and target of a request select, with the model that it applies to.
type Call struct {
	Operation Operation
	Model     string // empty: the operation applies to no model
	Version   string // empty: not specified
}

// Errors of ParseTarget.
var (
	ErrUnknownPath      = errors.New("no such call")                     // the protocol does not define the path
	ErrMethodNotAllowed = errors.New("the method does not fit the call") // the path is valid, but not with this method
)

// maxNameLength bounds a model's name or version in bytes. File systems have about the same limit for a file name.
const maxNameLength = 256

// ParseTarget parses a request's method and target and ignores the query. The error is ErrUnknownPath, or
// ErrMethodNotAllowed, with which the Call is valid.
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
		return parseModelTarget(method, parts[1], parts[2:])
	}
	return Call{}, ErrUnknownPath
}

// splitPath splits a path and unescapes its parts. It rejects empty and overlong parts, and those with bytes that could
// break a header or a log line on the way to a server.
func splitPath(path string) (parts []string, ok bool) {
	parts = strings.Split(path, "/")
	for i, part := range parts {
		name, err := url.PathUnescape(part)
		if err != nil || name == "" || len(name) > maxNameLength || strings.ContainsAny(name, "\r\n\x00") {
			return nil, false
		}
		parts[i] = name
	}
	return parts, true
}

// parseModelTarget parses the parts of a path after a model's name.
func parseModelTarget(method, model string, tail []string) (Call, error) {
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

// Target returns the path of a call; it is the inverse of ParseTarget.
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
