package httpapi

import (
	"errors"

	"github.com/hawthornwick/hawthornwick/internal/platform"
)

// CallerHeader names the calling instance.
const CallerHeader = "Hawthornwick-Caller"

// Paths of the platform's HTTP interfaces. Every call is a POST with a JSON body.
const (
	TableGetPath     = "/table/get"
	TableListPath    = "/table/list"
	TableCommitPath  = "/table/commit"
	ObjectPutPath    = "/objects/put"
	ObjectGetPath    = "/objects/get"
	ObjectListPath   = "/objects/list"
	ObjectDeletePath = "/objects/delete"
	ServerListPath   = "/servers/list"
	ServerPlacePath  = "/servers/place"
	ServerLookupPath = "/servers/lookup"
	UsageReportPath  = "/usage/report"
	InstanceListPath = "/instances/list"
	RegisterPath     = "/instances/register"
)

// Empty is the body of a request or response without fields.
type Empty struct{}

// KeysRequest is the request body of TableGetPath.
type KeysRequest struct {
	Keys []string `json:"keys"`
}

// ListRequest is the request body of TableListPath.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsAnswer is the response body of TableGetPath and TableListPath.
type RowsAnswer struct {
	Rows []platform.Row `json:"rows"`
}

// CommitAnswer is the response body of TableCommitPath.
type CommitAnswer struct {
	Versions []uint64 `json:"versions"`
}

// ObjectRequest is the request body of the object store's calls. For ObjectListPath,
// Name is a prefix.
type ObjectRequest struct {
	Name string `json:"name"`
	Data []byte `json:"data,omitempty"`
}

// ObjectAnswer is the response body of ObjectGetPath.
type ObjectAnswer struct {
	Data []byte `json:"data"`
}

// NamesAnswer is the response body of ObjectListPath.
type NamesAnswer struct {
	Names []string `json:"names"`
}

// LookupRequest is the request body of ServerLookupPath.
type LookupRequest struct {
	ID string `json:"id"`
}

// ServersAnswer is the response body of ServerListPath.
type ServersAnswer struct {
	Servers []platform.Server `json:"servers"`
}

// InstancesAnswer is the response body of InstanceListPath.
type InstancesAnswer struct {
	Instances []platform.Instance `json:"instances"`
}

// ErrorKind classifies the errors that callers distinguish.
type ErrorKind string

// Values of ErrorKind.
const (
	KindUnavailable ErrorKind = "unavailable"
	KindConflict    ErrorKind = "conflict"
	KindStaleToken  ErrorKind = "stale_token"
	KindNotFound    ErrorKind = "not_found"
)

// ErrorAnswer is the body of a response with status 400 or above.
type ErrorAnswer struct {
	Kind    ErrorKind `json:"kind"`
	Key     string    `json:"key,omitempty"`
	Current uint64    `json:"current,omitempty"`
	Token   uint64    `json:"token,omitempty"`
	Seen    uint64    `json:"seen,omitempty"`
}

// EncodeError converts an error of the platform into a response body. Any other error
// is encoded as KindUnavailable.
func EncodeError(err error) ErrorAnswer {
	var conflict *platform.ConflictError
	var stale *platform.StaleTokenError
	switch {
	case errors.As(err, &conflict):
		return ErrorAnswer{Kind: KindConflict, Key: conflict.Key, Current: conflict.Current}
	case errors.As(err, &stale):
		return ErrorAnswer{Kind: KindStaleToken, Token: stale.Token, Seen: stale.Seen}
	case errors.Is(err, platform.ErrNotFound):
		return ErrorAnswer{Kind: KindNotFound}
	default:
		return ErrorAnswer{Kind: KindUnavailable}
	}
}

// Err converts the response body back into an error. An unknown kind yields
// platform.ErrUnavailable.
func (a ErrorAnswer) Err() error {
	switch a.Kind {
	case KindConflict:
		return &platform.ConflictError{Key: a.Key, Current: a.Current}
	case KindStaleToken:
		return &platform.StaleTokenError{Token: a.Token, Seen: a.Seen}
	case KindNotFound:
		return platform.ErrNotFound
	default:
		return platform.ErrUnavailable
	}
}
