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

// Empty is the body of a call or an answer without fields.
type Empty struct{}

// KeysRequest is the body of TableGetPath.
type KeysRequest struct {
	Keys []string `json:"keys"`
}

// ListRequest is the body of TableListPath.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsAnswer is the answer of TableGetPath and TableListPath.
type RowsAnswer struct {
	Rows []platform.Row `json:"rows"`
}

// CommitAnswer is the answer of TableCommitPath.
type CommitAnswer struct {
	Versions []uint64 `json:"versions"`
}

// ObjectRequest is the body of the object store's calls; Name is a prefix for
// ObjectListPath.
type ObjectRequest struct {
	Name string `json:"name"`
	Data []byte `json:"data,omitempty"`
}

// ObjectAnswer is the answer of ObjectGetPath.
type ObjectAnswer struct {
	Data []byte `json:"data"`
}

// NamesAnswer is the answer of ObjectListPath.
type NamesAnswer struct {
	Names []string `json:"names"`
}

// LookupRequest is the body of ServerLookupPath.
type LookupRequest struct {
	ID string `json:"id"`
}

// ServersAnswer is the answer of ServerListPath.
type ServersAnswer struct {
	Servers []platform.Server `json:"servers"`
}

// InstancesAnswer is the answer of InstanceListPath.
type InstancesAnswer struct {
	Instances []platform.Instance `json:"instances"`
}

// ErrorKind names the errors that callers tell apart.
type ErrorKind string

// Values of ErrorKind.
const (
	KindUnavailable ErrorKind = "unavailable"
	KindConflict    ErrorKind = "conflict"
	KindStaleToken  ErrorKind = "stale_token"
	KindNotFound    ErrorKind = "not_found"
)

// ErrorAnswer is the body of an answer with a status of 400 and above.
type ErrorAnswer struct {
	Kind    ErrorKind `json:"kind"`
	Key     string    `json:"key,omitempty"`
	Current uint64    `json:"current,omitempty"`
	Token   uint64    `json:"token,omitempty"`
	Seen    uint64    `json:"seen,omitempty"`
}

// EncodeError turns an error of the platform into its answer.
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

// Err returns the error that the answer stands for.
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
