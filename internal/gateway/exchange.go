package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/httphead"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/routes"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

var (
	errDeadline = errors.New("the request's deadline has passed")
	errEnded    = errors.New("the exchange has ended")
	errStopped  = errors.New("the instance is stopping and its grace period is over")
)

const (
	// defaultMaxWait applies when neither the caller nor the route sets a time limit.
	defaultMaxWait = 30 * time.Second
	// deadlineGrace is added to the deadline that is sent to backend servers, so
	// that a server's own answer at its deadline still reaches the caller.
	deadlineGrace = 100 * time.Millisecond
	// defaultTarget applies to routes without a target.
	defaultTarget = 2 * time.Second
)

// exchange is one request of a caller and its answer.
type exchange struct {
	gateway        *Gateway
	w              http.ResponseWriter
	control        *http.ResponseController
	r              *http.Request
	ctx            context.Context
	cancel         context.CancelCauseFunc
	cancelDeadline context.CancelFunc
	detach         func() bool // detaches the request from Gateway.stopping

	receivedAt   time.Time
	deadline     time.Time // when the answer must be complete
	table        *routes.Table
	route        *routes.Route
	head         CallerHead
	organisation *routes.Organisation // nil if the route needs no key
	keyDigest    config.KeyDigest     // of the caller's key; empty if none was checked
	body         []byte
	bodyHold     *bytebudget.Holder // of body
	suspect      quarantine.Request
	header       http.Header // fields common to all attempts
	query        balance.Query

	sends           int    // attempts of which bytes may have been sent
	possibleRuns    int    // attempts that a server may have run
	usageRecorded   bool   // the request was reported to the usage meter
	responseStarted bool   // the head of the answer was sent to the caller
	streamStarted   bool   // it was that of a stream
	lastEventID     string // of the last event that the caller received; empty if none
	events          int64  // complete events sent to the caller
	pauses          pauses // between these events

	origin      OriginRecord        // of a stream that may begin here; nil if none is kept
	originNoted bool                // noteLostOrigin has called Lost
	began       *balance.Assignment // of the attempt that sent the first event; nil before that
	beganAt     time.Time           // when that event was relayed
}

func newExchange(g *Gateway, w http.ResponseWriter, r *http.Request) *exchange {
	ctx, cancel := context.WithCancelCause(r.Context())
	return &exchange{
		gateway: g, w: w, control: http.NewResponseController(w), r: r,
		ctx: ctx, cancel: cancel, cancelDeadline: func() {}, receivedAt: time.Now(),
		detach: context.AfterFunc(g.stopping, func() { cancel(errStopped) }),
	}
}

func (x *exchange) close() {
	x.detach()
	x.cancel(errEnded)
	x.cancelDeadline()
	x.bodyHold.Release()
	if x.origin != nil {
		x.noteLostOrigin()
		x.origin.Ended()
	}
}

// serve answers the request.
func (x *exchange) serve() {
	if refusal := x.resolve(); refusal != nil {
		x.refuse(refusal)
		return
	}
	if refusal := x.readBody(); refusal != nil {
		x.refuse(refusal)
		return
	}
	x.prepare()
	x.record(timeline.Event{Kind: timeline.RequestReceived})
	x.gateway.options.Balancer.CountRequest(x.query.Service)
	if refusal := x.bindToOrigin(); refusal != nil {
		x.refuse(refusal)
		return
	}
	x.tryServers()
}

// resolve determines the route and the organisation of the request.
func (x *exchange) resolve() *result.Error {
	source := x.gateway.options.Source
	x.table = source.Table()
	if x.table == nil {
		return newRefusal(result.ConfigurationStale, "no configuration was read yet")
	}
	x.head = x.gateway.options.Protocol.ReadCallerHead(x.r)
	x.route = x.table.Match(x.r.Host, x.r.URL.EscapedPath())
	if x.route == nil {
		if !source.UpToDate() {
			return newRefusal(result.ConfigurationStale, "the configuration may lack a route")
		}
		return newRefusal(result.UnknownRoute, "no route leads to %s%s", x.r.Host, x.r.URL.Path)
	}
	if !x.table.NeedsKey(x.route) {
		return nil
	}
	return x.authenticate()
}

// authenticate determines the organisation that the caller's key belongs to.
func (x *exchange) authenticate() *result.Error {
	source := x.gateway.options.Source
	if !source.KeysFresh() {
		return newRefusal(result.ConfigurationStale, "keys may have been withdrawn")
	}
	if x.head.Key != "" {
		x.keyDigest = config.DigestKey(x.head.Key)
		x.organisation = x.table.KeyOwner(x.keyDigest)
	}
	switch {
	case x.organisation != nil:
		return nil
	case !source.UpToDate():
		return newRefusal(result.ConfigurationStale, "the configuration may lack a key")
	case x.head.Key == "":
		return newRefusal(result.KeyMissing, "the request bears no key")
	}
	return newRefusal(result.KeyUnknown, "the key is not known")
}

// prepare sets the deadline and the parts of the request that all attempts share.
func (x *exchange) prepare() {
	maxWait := x.head.MaxWait
	if maxWait <= 0 {
		maxWait = defaultMaxWait
	}
	if x.route.Timeout > 0 {
		maxWait = min(maxWait, x.route.Timeout)
	}
	x.deadline = x.receivedAt.Add(maxWait)
	x.ctx, x.cancelDeadline = context.WithDeadlineCause(x.ctx, x.deadline.Add(deadlineGrace), errDeadline)
	x.header = x.r.Header.Clone()
	httphead.RemoveHopByHop(x.header)
	delete(x.header, "Content-Length")
	delete(x.header, "Expect")
	x.suspect = quarantine.Request{Fingerprint: x.digest(), Parts: x.sharedPartIDs()}
	x.lastEventID = x.head.ResumeAfter
	x.query = balance.Query{
		Service: x.route.Choose(x.serviceSeed()), Priority: x.table.Rank(x.route, x.organisation), Organisation: x.organisationName(),
		Parts: x.head.Parts, PromptTokens: x.head.PromptTokens, OutputTokens: x.head.OutputTokens,
		Target: x.route.Target, TargetEventInterval: x.route.TargetEventInterval,
	}
}

// digest returns a hash of everything that determines what a backend server executes,
// for the crash quarantine.
func (x *exchange) digest() uint64 {
	h := xxhash.New()
	for _, s := range []string{x.r.Method, x.r.URL.RequestURI(), x.organisationName()} {
		_, _ = h.WriteString(s)
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(x.body)
	return h.Sum64()
}

// sharedPartIDs returns the IDs of the prompt's parts that other requests may share,
// which are all but the last.
func (x *exchange) sharedPartIDs() []uint64 {
	if len(x.head.Parts) < 2 {
		return nil
	}
	shared := x.head.Parts[:len(x.head.Parts)-1]
	ids := make([]uint64, len(shared))
	for i, p := range shared {
		ids[i] = p.ID
	}
	return ids
}

func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// routeName returns the name of the route, or the empty string if none matched.
func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

// target returns the route's latency target.
func (x *exchange) target() time.Duration {
	if x.route.Target > 0 {
		return x.route.Target
	}
	return defaultTarget
}

// timeLeft returns the time until the deadline or the stop of the instance.
func (x *exchange) timeLeft() time.Duration {
	left := time.Until(x.deadline)
	if stop := x.gateway.stopState.planned.Load(); stop != nil {
		return min(left, stop.left())
	}
	return left
}

// maySend reports whether the request may still be sent. The key is checked again
// because the process may have been suspended since it was authenticated.
func (x *exchange) maySend() bool {
	return x.organisation == nil || x.gateway.options.Source.KeysFresh()
}

// deliveryLimit returns how long the request may be in transit to its server.
func (x *exchange) deliveryLimit() time.Duration {
	limit := x.gateway.options.Delivery
	if x.organisation == nil {
		return limit
	}
	if valid := x.gateway.options.Source.KeysValidFor(); valid > 0 {
		limit = min(limit, valid)
	}
	return limit
}

// recordUsage counts the request at the usage meter, at most once.
func (x *exchange) recordUsage(ago time.Duration) {
	if x.usageRecorded || x.organisation == nil {
		return
	}
	x.usageRecorded = true
	x.gateway.options.Meter.Began(x.organisation.Name, ago)
}

// record adds an event about the request to the timeline.
func (x *exchange) record(e timeline.Event) {
	e.Request = x.head.Attempt
	e.Organisation = x.organisationName()
	e.Class = x.routeName()
	if x.route != nil {
		e.Idempotent = x.route.Retryable()
		e.Service = x.query.Service
		e.Tier = x.query.Priority + 1
	}
	if x.table != nil {
		e.Version = x.table.Version
	}
	x.gateway.options.Recorder.Record(e)
}
