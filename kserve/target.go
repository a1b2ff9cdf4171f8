package kserve

import (
	"errors"
	"net/url"
	"strings"
)

// Kind is what a call asks for.
type Kind uint8

// The calls of the protocol and of the model repository extension.
const (
	ServerLive Kind = iota
	ServerReady
	ServerMetadata
	ModelReady
	ModelMetadata
	Infer
	RepositoryIndex
	RepositoryLoad
	RepositoryUnload
)

// Call is what the target of a request names. Version is empty where none is named.
type Call struct {
	Kind    Kind
	Model   string
	Version string
}

// Errors of ReadTarget: the path is none of the protocol's, or the method does not fit it.
var (
	ErrNoSuchCall = errors.New("no such call")
	ErrMethod     = errors.New("the method does not fit the call")
)

const maxName = 256 // bytes of a model's name or version; file systems stop at about as many

// ReadTarget reads a request's method and target.
func ReadTarget(method, target string) (Call, error) {
	path, _, _ := strings.Cut(target, "?")
	if path == "/v2" || path == "/v2/" {
		return gets(method, Call{Kind: ServerMetadata})
	}
	rest, ok := strings.CutPrefix(path, "/v2/")
	if !ok {
		return Call{}, ErrNoSuchCall
	}
	parts := strings.Split(rest, "/")
	for i, p := range parts {
		name, err := url.PathUnescape(p)
		if err != nil || name == "" || len(name) > maxName || strings.ContainsAny(name, "\r\n\x00") {
			return Call{}, ErrNoSuchCall
		}
		parts[i] = name
	}
	switch {
	case rest == "health/live":
		return gets(method, Call{Kind: ServerLive})
	case rest == "health/ready":
		return gets(method, Call{Kind: ServerReady})
	case rest == "repository/index":
		return posts(method, Call{Kind: RepositoryIndex})
	case len(parts) == 4 && parts[0] == "repository" && parts[1] == "models" && parts[3] == "load":
		return posts(method, Call{Kind: RepositoryLoad, Model: parts[2]})
	case len(parts) == 4 && parts[0] == "repository" && parts[1] == "models" && parts[3] == "unload":
		return posts(method, Call{Kind: RepositoryUnload, Model: parts[2]})
	case parts[0] != "models" || len(parts) < 2:
		return Call{}, ErrNoSuchCall
	}
	c, tail := Call{Kind: ModelMetadata, Model: parts[1]}, parts[2:]
	if len(tail) >= 2 && tail[0] == "versions" {
		c.Version, tail = tail[1], tail[2:]
	}
	switch {
	case len(tail) == 0:
		return gets(method, c)
	case len(tail) == 1 && tail[0] == "ready":
		c.Kind = ModelReady
		return gets(method, c)
	case len(tail) == 1 && tail[0] == "infer":
		c.Kind = Infer
		return posts(method, c)
	}
	return Call{}, ErrNoSuchCall
}

func gets(method string, c Call) (Call, error) {
	if method != "GET" && method != "HEAD" {
		return c, ErrMethod
	}
	return c, nil
}

func posts(method string, c Call) (Call, error) {
	if method != "POST" {
		return c, ErrMethod
	}
	return c, nil
}

// Target gives the path of a call; the opposite of ReadTarget.
func (c Call) Target() string {
	model := "/v2/models/" + url.PathEscape(c.Model)
	if c.Version != "" {
		model += "/versions/" + url.PathEscape(c.Version)
	}
	switch c.Kind {
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
