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

// requireIdempotencyKey refuses a non-idempotent request without a valid
// idempotency key. Otherwise it sets the request's record.
func (x *exchange) requireIdempotencyKey() *result.Error {
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

// newClaim returns a claim on the request's idempotency record for one new attempt.
func (x *exchange) newClaim(body payload) ledger.Claim {
	return ledger.Claim{
		Key:      x.recordKey(),
		Digest:   ledger.RequestDigest(x.r.Method, x.r.URL.Path, x.r.URL.RawQuery, body.bytes),
		Attempt:  uuid.Must(uuid.NewV7()).String(),
		Deadline: x.req.Deadline,
		Gate:     &x.gate,
	}
}

// runWithRecord serves a non-idempotent request. A duplicate gets the stored
// answer without taking a slot. Otherwise the record is inserted after admission,
// so that a queued request leaves no record behind if the instance crashes.
func (x *exchange) runWithRecord(ctx context.Context, body payload) {
	claim := x.newClaim(body)
	d, found, refusal := x.server.o.Ledger.Find(ctx, claim)
	if found || refusal != nil {
		x.answerDuplicate(ctx, d, refusal)
		return
	}
	if refusal := x.refuseQuarantined(); refusal != nil {
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
		x.answerDuplicate(ctx, d, refusal)
		return
	}
	x.runOwned(body, claim.Attempt, d.Owned)
}

// refuseUnlessRun refuses a request that was not admitted. If a duplicate of it
// started on another instance in the meantime, the answer follows from the
// record instead, because "not run" would be false.
func (x *exchange) refuseUnlessRun(ctx context.Context, claim ledger.Claim, refusal *result.Error) {
	d, found, duplicate := x.server.o.Ledger.Find(context.WithoutCancel(ctx), claim)
	if found {
		x.answerDuplicate(ctx, d, duplicate)
		return
	}
	x.refuse(refusal)
}

// answerDuplicate replays the stored answer, or refuses if there is none.
func (x *exchange) answerDuplicate(ctx context.Context, d ledger.Decision, refusal *result.Error) {
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
	x.recordEvent(timeline.Event{Kind: timeline.RequestAnswered, Count: 1, Detail: "stored answer"})
	x.log("request answered from its idempotency record", "status", d.Answer.Status)
	_ = d.Answer.Replay(x.w)
}

// runOwned dispatches the only attempt that the record allows. It continues if
// the caller disconnects, because a retry can still fetch the answer.
func (x *exchange) runOwned(body payload, attempt string, owned *ledger.Owned) {
	ctx := x.routerCtx
	if x.req.Stream {
		capture := x.server.o.Ledger.NewCapture(x.w)
		out := x.dispatchOwned(ctx, body, attempt, owned, capture)
		answer, complete := capture.Answer()
		x.finishRecord(ctx, owned, out, answer, complete)
		x.finish(out)
		return
	}
	buffered := newBufferedAnswer(x.w, maxBufferedAnswerBytes)
	out := x.dispatchOwned(ctx, body, attempt, owned, buffered)
	answer, complete := buffered.answer()
	x.finishRecord(ctx, owned, out, answer, complete)
	if cause := interruption(ctx); cause != nil && out.Err == nil {
		out.Err = cause // the key was withdrawn while the answer was being stored
	}
	if out.Err == nil {
		buffered.forward()
	}
	out.AnswerStarted = x.w.started
	out.Abort = out.Abort && x.w.started
	x.finish(out)
}

func (x *exchange) dispatchOwned(ctx context.Context, body payload, attempt string, owned *ledger.Owned, w http.ResponseWriter) dispatch.Outcome {
	call := x.call(body)
	call.Attempt = attempt
	call.SendBefore = owned.SendBefore
	return x.server.o.Dispatcher.Do(ctx, call, w)
}

// finishRecord completes the record with the answer, releases it if it is proved
// that nothing was sent, or else marks its outcome as unknown.
func (x *exchange) finishRecord(ctx context.Context, owned *ledger.Owned, out dispatch.Outcome, answer ledger.Answer, complete bool) {
	ctx = context.WithoutCancel(ctx)
	if out.Err == nil && complete {
		owned.Complete(ctx, answer)
		return
	}
	if proof, ok := x.gate.Seal(); ok {
		owned.Release(ctx, proof)
		return
	}
	owned.Lost(ctx)
}
