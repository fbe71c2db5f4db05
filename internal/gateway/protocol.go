// Package gateway serves HTTP routes: it reads a caller's request, selects a
// backend server, forwards the request, and relays the answer. A Protocol maps
// the header fields of callers and backend servers to the types used here.
package gateway

import (
	"net/http"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/eventstream"
)

// CallerHead holds the request metadata from a caller's header fields.
type CallerHead struct {
	// Attempt is the caller's id for this attempt. Answers must echo it.
	Attempt string
	// Key is the caller's secret key. Empty means that none was sent.
	Key string
	// MaxWait is the maximum time that the caller waits for the complete answer.
	// Zero means unknown.
	MaxWait time.Duration
	// Parts are the parts of the prompt. Nil means unknown.
	Parts []balance.Part
	// PromptTokens and OutputTokens are the size of the request. Zero means unknown.
	PromptTokens, OutputTokens int
	// ResumeAfter is the id of the last stream event that the caller received.
	// Empty means that it received none.
	ResumeAfter string
	// ResumedAttempt is the id of the caller's attempt that brought the first event of the
	// stream that this one resumes. Empty means that the caller did not name it.
	ResumedAttempt string
}

// ServerHead holds the request metadata that the router sends to a backend server.
type ServerHead struct {
	// Server is the id of the intended server. Any other server must refuse the
	// request.
	Server string
	// TimeLeft is the time remaining for the answer.
	TimeLeft time.Duration
	// Organisation is the owner of the request's key. Empty means that the route
	// needs no key.
	Organisation string
	// Priority ranks the request at the server; 0 is the most urgent.
	Priority int
	// ResumeAfter is the id of the last event that the caller received. Empty means
	// that it received none.
	ResumeAfter string
}

// AnswerHead holds the metadata from the header fields of a backend server's answer.
type AnswerHead struct {
	// Attempt is the echoed attempt id.
	Attempt string
	// Signed is true when the answer carries the server's signature.
	Signed bool
	// NotRun is true when the server states that it did not run the request.
	NotRun bool
	// Misdirected is true when the server is not the intended one.
	Misdirected bool
	// Incarnation identifies the server's process, as in Identity. Zero means that the
	// answer does not state it.
	Incarnation uint64
}

// Identity is what a backend server states about itself.
type Identity struct {
	// Server is its id. Empty means that it was not stated.
	Server string
	// Incarnation is a number that identifies the process among all processes of the
	// server: its start in Unix milliseconds, or a restart epoch. Zero means that it was
	// not stated.
	Incarnation uint64
	// StartedAt is when the process started, by its server's clock. Zero means that it was
	// not stated.
	StartedAt time.Time
}

// Protocol reads and writes header fields. Implementations must be safe for
// concurrent use.
type Protocol interface {
	// ReadCallerHead reads a caller's request. Malformed fields count as absent.
	ReadCallerHead(r *http.Request) CallerHead
	// WriteServerHead edits h for a backend server. h is a copy of the caller's fields
	// without the hop-by-hop ones. WriteServerHead removes the key and every field
	// that only the router may set.
	WriteServerHead(h http.Header, s ServerHead)
	// ReadAnswerHead reads the fields of a backend server's answer.
	ReadAnswerHead(r *http.Response) AnswerHead
	// ReadAdvisory reads what the head of an answer, which may be informational (1xx),
	// states about the server that sent it.
	ReadAdvisory(status int, h http.Header) advisory.Advisory
	// IdentityRequest returns the path and the header fields of a GET request with which
	// a backend server, which is assumed to be known, is asked who it is. The server must
	// answer it at once, without running anything. An empty path means that the server
	// cannot be asked.
	IdentityRequest(known Identity) (path string, h http.Header)
	// ReadIdentity reads the answer to an IdentityRequest. Fields that are missing or
	// malformed count as not stated.
	ReadIdentity(r *http.Response, body []byte) Identity
	// EventRules state what the events of backend servers' streams look like.
	EventRules() eventstream.Rules
}
