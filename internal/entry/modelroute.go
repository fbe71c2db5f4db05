package entry

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// serveModel serves the OpenAI completion routes.
func (s *Server) serveModel(x *exchange) {
	if _, refusal := authenticate(x.snap, x.r.Header, &x.gate); refusal != nil {
		x.refuse(refusal)
		return
	}
	body, refusal := x.readBody()
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	if refusal := x.refreshConfig(); refusal != nil {
		x.refuse(refusal)
		return
	}
	if refusal := x.describeModelRequest(body); refusal != nil {
		x.refuse(refusal)
		return
	}
	x.recordReceived()
	x.run(payload{bytes: body})
}

// describeModelRequest fills in the request from its body.
func (x *exchange) describeModelRequest(body []byte) *result.Error {
	parsed, err := parseModelBody(body)
	if err != nil {
		return x.gate.Refuse(result.BadRequest, "%v", err)
	}
	model := x.snap.Model(parsed.Model)
	if model == nil {
		return x.gate.Refuse(result.UnknownModel, "the configuration has no model %q", parsed.Model)
	}
	if refusal := x.identify(model.Name, model.Class, false); refusal != nil {
		return refusal
	}
	x.req.Stream = parsed.Stream
	x.req.Prefixes = parsed.prefixes()
	x.req.InputTokens = parsed.inputTokens()
	x.req.Fingerprint = fingerprint(x.r, model.Name, body)
	return x.requireIdempotencyKey()
}

// fingerprint hashes everything that a backend server would execute, so that a
// request that crashes backend servers is recognised when it is retried.
func fingerprint(r *http.Request, pool string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(r.URL.EscapedPath())
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(r.URL.RawQuery)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(pool)
	_, _ = h.WriteString("\x00")
	_, _ = h.Write(body)
	return h.Sum64()
}
