package entry

import "github.com/hawthornwick/hawthornwick/internal/result"

// identifyRecord demands an idempotency key of a non-idempotent request.
func (x *exchange) identifyRecord() *result.Error {
	if x.req.Idempotent {
		return nil
	}
	if x.r.Header.Get(IdempotencyHeader) == "" {
		return x.gate.Refuse(result.IdempotencyKeyMissing, "%s %s needs an %s header", x.r.Method, x.r.URL.Path, IdempotencyHeader)
	}
	return nil
}
