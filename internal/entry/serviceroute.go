package entry

import (
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// serveService serves /services/NAME/ routes.
func (s *Server) serveService(x *exchange) {
	if refusal := x.describeServiceRequest(); refusal != nil {
		x.refuse(refusal)
		return
	}
	body, refusal := x.servicePayload()
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	x.recordReceived()
	x.run(body)
}

// describeServiceRequest fills in the request from its path and headers.
func (x *exchange) describeServiceRequest() *result.Error {
	name := x.r.PathValue("service")
	service := x.snap.Service(name)
	if service == nil || !service.Route {
		return x.gate.Refuse(result.UnknownService, "the configuration has no route to a service %q", name)
	}
	if refusal := x.identify(service.Name, service.Class, service.Open); refusal != nil {
		return refusal
	}
	if !permitted(service, x.req.Organisation) {
		return x.gate.Refuse(result.NotPermitted, "organisation %q may not use service %q", x.req.Organisation, service.Name)
	}
	x.req.Plain = true
	x.req.Idempotent = slices.Contains(service.Idempotent, x.r.Method)
	return x.requireIdempotencyKey()
}

// permitted reports whether the organisation may use the service. An empty
// organisation (no key) is permitted on open routes.
func permitted(service *config.Service, organisation string) bool {
	if service.Open && organisation == "" {
		return true
	}
	return len(service.Organisations) == 0 || slices.Contains(service.Organisations, organisation)
}

// servicePayload returns the body as a stream for an idempotent request. It reads
// the whole body of a non-idempotent one, whose digest the record stores.
func (x *exchange) servicePayload() (payload, *result.Error) {
	if x.req.Idempotent {
		return x.streamedPayload(), nil
	}
	body, refusal := x.readBody()
	if refusal != nil {
		return payload{}, refusal
	}
	if refusal := x.refreshConfig(); refusal != nil {
		return payload{}, refusal
	}
	if refusal := x.describeServiceRequest(); refusal != nil {
		return payload{}, refusal
	}
	x.req.Fingerprint = fingerprint(x.r, x.req.Pool, body)
	return payload{bytes: body}, nil
}

func (x *exchange) streamedPayload() payload {
	if x.body == nil {
		x.req.Fingerprint = fingerprint(x.r, x.req.Pool, nil)
		return payload{bytes: []byte{}}
	}
	// An answer may start before the body ends. HTTP/2 always allows this.
	_ = x.w.control.EnableFullDuplex()
	return payload{stream: x.body, length: x.r.ContentLength}
}
