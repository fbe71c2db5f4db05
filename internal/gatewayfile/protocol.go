package gatewayfile

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornwick/hawthornwick/internal/advisory"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/eventstream"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
)

// Headers in addition to those of package engineapi.
const (
	resumeHeader       = "Last-Event-Id"
	serverHeader       = "Hawthornwick-Server"
	organisationHeader = "Hawthornwick-Organisation"
	notRunHeader       = "Hawthornwick-Not-Run"
)

// protocol is the gateway protocol based on Hawthornwick headers. It has no signatures: a
// response counts as signed if the backend server returned an attempt id.
type protocol struct{}

var _ gateway.Protocol = protocol{}

// ReadCallerHead implements gateway.Protocol.
func (protocol) ReadCallerHead(r *http.Request) gateway.CallerHead {
	h := gateway.CallerHead{Attempt: r.Header.Get(engineapi.AttemptHeader), ResumeAfter: r.Header.Get(resumeHeader)}
	if h.Attempt == "" {
		h.Attempt = uuid.NewString()
		r.Header.Set(engineapi.AttemptHeader, h.Attempt)
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "Bearer") {
		h.Key = strings.TrimSpace(key)
	}
	if ms, err := strconv.Atoi(r.Header.Get(engineapi.DeadlineHeader)); err == nil && ms > 0 {
		h.MaxWait = time.Duration(ms) * time.Millisecond
	}
	return h
}

// WriteServerHead implements gateway.Protocol.
func (protocol) WriteServerHead(h http.Header, s gateway.ServerHead) {
	h.Del("Authorization")
	h.Set(serverHeader, s.Server)
	h.Set(organisationHeader, s.Organisation)
	h.Set(engineapi.DeadlineHeader, strconv.FormatInt(max(s.TimeLeft.Milliseconds(), 1), 10))
	h.Set(engineapi.PriorityHeader, strconv.Itoa(s.Priority+1))
	if s.ResumeAfter != "" {
		h.Set(resumeHeader, s.ResumeAfter)
	}
}

// ReadAnswerHead implements gateway.Protocol.
func (protocol) ReadAnswerHead(r *http.Response) gateway.AnswerHead {
	attempt := r.Header.Get(engineapi.AttemptHeader)
	misdirected := r.StatusCode == http.StatusMisdirectedRequest
	return gateway.AnswerHead{
		Attempt: attempt, Signed: attempt != "", Misdirected: misdirected,
		NotRun:      r.Header.Get(notRunHeader) != "" || misdirected,
		Incarnation: epochOf(r),
	}
}

// epochOf returns the restart epoch that an answer states, or zero.
func epochOf(r *http.Response) uint64 {
	epoch, err := strconv.ParseUint(r.Header.Get(engineapi.EpochHeader), 10, 64)
	if err != nil {
		return 0
	}
	return epoch
}

// IdentityRequest implements gateway.Protocol. Servers that state no restart epoch in their
// answers need not be engines, so they are not asked.
func (protocol) IdentityRequest(known gateway.Identity) (path string, h http.Header) {
	if known.Incarnation == 0 {
		return "", nil
	}
	h = http.Header{}
	h.Set(serverHeader, known.Server)
	return engineapi.LoadPath, h
}

// ReadIdentity implements gateway.Protocol. Engines state no id, but refuse requests for
// another server.
func (protocol) ReadIdentity(r *http.Response, _ []byte) gateway.Identity {
	return gateway.Identity{Incarnation: epochOf(r)}
}

// ReadAdvisory implements gateway.Protocol.
func (protocol) ReadAdvisory(status int, h http.Header) advisory.Advisory {
	return advisory.Read(advisory.Fields{Leaving: engineapi.LeavingHeader, RateLimit: engineapi.RateLimitHeader}, status, h, time.Now())
}

// EventRules implements gateway.Protocol. Backend servers number their events as they like
// and may add fields of their own.
func (protocol) EventRules() eventstream.Rules {
	return eventstream.Rules{}
}
