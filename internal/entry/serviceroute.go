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
	x.received()
	x.run(body)
}

// describeServiceRequest builds the request's description from its headers.
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
	return x.identifyRecord()
}

// permitted reports whether the organisation may use the service. On an open
// route the organisation is empty and always permitted.
func permitted(service *config.Service, organisation string) bool {
	if service.Open && organisation == "" {
		return true
	}
	return len(service.Organisations) == 0 || slices.Contains(service.Organisations, organisation)
}

// servicePayload reads the body of a non-idempotent request, whose digest the
// idempotency record keeps, and streams any other.
func (x *exchange) servicePayload() (payload, *result.Error) {
	if x.req.Idempotent {
		return x.streamedPayload(), nil
	}
	body, refusal := x.readBody()
	if refusal != nil {
		return payload{}, refusal
	}
	if refusal := x.renew(); refusal != nil {
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
	// An answer may begin before the body has ended. HTTP/2 needs no leave.
	_ = x.w.control.EnableFullDuplex()
	return payload{stream: x.body, length: x.r.ContentLength}
}
