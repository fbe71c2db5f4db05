package gatewayfile

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
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

// ReadHead implements gateway.Protocol.
func (protocol) ReadHead(r *http.Request) gateway.Head {
	h := gateway.Head{Attempt: r.Header.Get(engineapi.AttemptHeader), ResumeAfter: r.Header.Get(resumeHeader)}
	if h.Attempt == "" {
		h.Attempt = uuid.NewString()
		r.Header.Set(engineapi.AttemptHeader, h.Attempt)
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "Bearer") {
		h.Key = strings.TrimSpace(key)
	}
	if ms, err := strconv.Atoi(r.Header.Get(engineapi.DeadlineHeader)); err == nil && ms > 0 {
		h.Patience = time.Duration(ms) * time.Millisecond
	}
	return h
}

// WriteSend implements gateway.Protocol.
func (protocol) WriteSend(h http.Header, s gateway.Send) {
	h.Del("Authorization")
	h.Set(serverHeader, s.Server)
	h.Set(organisationHeader, s.Organisation)
	h.Set(engineapi.DeadlineHeader, strconv.FormatInt(max(s.Left.Milliseconds(), 1), 10))
	h.Set(engineapi.PriorityHeader, strconv.Itoa(s.Priority+1))
	if s.ResumeAfter != "" {
		h.Set(resumeHeader, s.ResumeAfter)
	}
}

// ReadAnswer implements gateway.Protocol.
func (protocol) ReadAnswer(r *http.Response) gateway.Answer {
	attempt := r.Header.Get(engineapi.AttemptHeader)
	misdirected := r.StatusCode == http.StatusMisdirectedRequest
	return gateway.Answer{
		Attempt: attempt, Signed: attempt != "", Misdirected: misdirected,
		NotRun: r.Header.Get(notRunHeader) != "" || misdirected,
	}
}
