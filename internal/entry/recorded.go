package entry

import (
	"context"
	"net/http"

	"github.com/google/uuid"

	"github.com/hawthornwick/hawthornwick/internal/dispatch"
	"github.com/hawthornwick/hawthornwick/internal/ledger"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// maxIdempotencyKeyBytes bounds the Idempotency-Key header.
const maxIdempotencyKeyBytes = 256

// identifyRecord demands an idempotency key of a non-idempotent request.
func (x *exchange) identifyRecord() *result.Error {
	if x.req.Idempotent {
		return nil
	}
	if lines := x.r.Header.Values(IdempotencyHeader); len(lines) > 1 {
		return x.gate.Refuse(result.BadRequest, "the request bears %d %s headers; send one", len(lines), IdempotencyHeader)
	}
	key := x.r.Header.Get(IdempotencyHeader)
	if key == "" {
		return x.gate.Refuse(result.IdempotencyKeyMissing, "%s %s needs an %s header", x.r.Method, x.r.URL.Path, IdempotencyHeader)
	}
	if len(key) > maxIdempotencyKeyBytes {
		return x.gate.Refuse(result.BadRequest, "the %s header exceeds %d bytes", IdempotencyHeader, maxIdempotencyKeyBytes)
	}
	x.req.Record = x.recordKey().Record()
	return nil
}

func (x *exchange) recordKey() ledger.Key {
	return ledger.Key{Organisation: x.req.Organisation, IdempotencyKey: x.r.Header.Get(IdempotencyHeader)}
}

// claim asks the ledger that one new attempt may run.
func (x *exchange) claim(body payload) ledger.Claim {
	return ledger.Claim{
		Key:      x.recordKey(),
		Digest:   ledger.BodyDigest(x.r.Method, x.r.URL.Path, x.r.URL.RawQuery, body.bytes),
		Attempt:  uuid.Must(uuid.NewV7()).String(),
		Deadline: x.req.Deadline,
		Gate:     &x.gate,
	}
}

// runRecorded serves a non-idempotent request. A duplicate gets the stored
// answer without taking a slot; otherwise the record is inserted after
// admission, so that a request which waits leaves nothing behind if the
// instance dies.
func (x *exchange) runRecorded(ctx context.Context, body payload) {
	claim := x.claim(body)
	d, found, refusal := x.server.o.Ledger.Find(ctx, claim)
	if found || refusal != nil {
		x.settleDuplicate(ctx, d, refusal)
		return
	}
	if refusal := x.quarantined(); refusal != nil {
		x.refuse(refusal)
		return
	}
	if refusal := x.admit(ctx); refusal != nil {
		x.refuseUnlessRun(ctx, claim, refusal)
		return
	}
	defer x.ticket.Done()
	d, refusal = x.server.o.Ledger.Begin(ctx, claim)
	if d.Owned == nil {
		x.settleDuplicate(ctx, d, refusal)
		return
	}
	x.runOwned(body, claim.Attempt, d.Owned)
}

// refuseUnlessRun refuses a request that was not admitted, unless a duplicate
// of it began to run through another instance while it waited: its caller must
// not hear "not run" then.
func (x *exchange) refuseUnlessRun(ctx context.Context, claim ledger.Claim, refusal *result.Error) {
	d, found, duplicate := x.server.o.Ledger.Find(context.WithoutCancel(ctx), claim)
	if found {
		x.settleDuplicate(ctx, d, duplicate)
		return
	}
	x.refuse(refusal)
}

// settleDuplicate gives a stored answer again, or the reason why there is none.
func (x *exchange) settleDuplicate(ctx context.Context, d ledger.Decision, refusal *result.Error) {
	if cause := interruption(ctx); cause != nil {
		if refusal == nil || !refusal.NotRun() { // the first request may have run
			cause = result.MayHaveRun(cause.Code, "%s", cause.Message)
		}
		x.refuse(cause)
		return
	}
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	x.fire(eventDuplicate)
	x.fire(eventAnswered)
	x.server.answered.Add(1)
	x.record(timeline.Event{Kind: timeline.RequestAnswered, Count: 1, Detail: "stored answer"})
	x.log("request answered from its idempotency record", "status", d.Answer.Status)
	_ = d.Answer.Give(x.w)
}

// runOwned dispatches the only attempt that the record allows. The caller's
// departure does not stop it, because its answer can still be had again.
func (x *exchange) runOwned(body payload, attempt string, owned *ledger.Owned) {
	ctx := x.lasting
	if x.req.Stream {
		capture := x.server.o.Ledger.NewCapture(x.w)
		out := x.dispatchOwned(ctx, body, attempt, owned, capture)
		answer, whole := capture.Answer()
		x.settleOwned(ctx, owned, out, answer, whole)
		x.finish(out)
		return
	}
	held := newHeldAnswer(x.w, heldAnswerBytes)
	out := x.dispatchOwned(ctx, body, attempt, owned, held)
	answer, whole := held.answer()
	x.settleOwned(ctx, owned, out, answer, whole)
	if ended := interruption(ctx); ended != nil && out.Err == nil {
		out.Err = ended // the key was withdrawn while the answer was being stored
	}
	if out.Err == nil {
		held.release()
	}
	out.Started = x.w.begun
	out.Abort = out.Abort && x.w.begun
	x.finish(out)
}

func (x *exchange) dispatchOwned(ctx context.Context, body payload, attempt string, owned *ledger.Owned, w http.ResponseWriter) dispatch.Outcome {
	call := x.call(body)
	call.Attempt = attempt
	call.SendBefore = owned.SendBefore
	return x.server.o.Dispatcher.Do(ctx, call, w)
}

// settleOwned ends the record: with the answer, as released when it is proved
// that nothing was sent, or as lost.
func (x *exchange) settleOwned(ctx context.Context, owned *ledger.Owned, out dispatch.Outcome, answer ledger.Answer, whole bool) {
	ctx = context.WithoutCancel(ctx)
	if out.Err == nil && whole {
		owned.Complete(ctx, answer)
		return
	}
	if proof, ok := x.gate.Seal(); ok {
		owned.Release(ctx, proof)
		return
	}
	owned.Lost(ctx)
}
