package result

import "net/http"

// Result codes. 1xxx: the request itself; 2xxx: keys and permissions; 3xxx:
// admission; 4xxx: backend servers; 5xxx: idempotency records; 6xxx: the
// instance; 7xxx: operators' commands.
const (
	BadRequest            Code = 1001
	HeaderTooLarge        Code = 1002
	BodyTooLarge          Code = 1003
	BodyTimeout           Code = 1004
	UnknownRoute          Code = 1005
	UnknownModel          Code = 1006
	UnknownService        Code = 1007
	UnknownClass          Code = 1008
	IdempotencyKeyMissing Code = 1009
	MethodNotAllowed      Code = 1010
	UpgradeUnsupported    Code = 1011

	KeyMissing         Code = 2001
	KeyUnknown         Code = 2002
	KeyWithdrawn       Code = 2003
	NotPermitted       Code = 2004
	StreamKeyWithdrawn Code = 2005

	Shed             Code = 3001
	DeadlineHopeless Code = 3002
	QueueTimeout     Code = 3003
	Preempted        Code = 3004
	CallerGone       Code = 3005

	NoBackendServer          Code = 4001
	DependencyDown           Code = 4002
	ConnectFailed            Code = 4003
	AttemptTimeout           Code = 4004
	StreamBroken             Code = 4005
	AnswerCrossed            Code = 4006
	BackendServerError       Code = 4007
	RetryBudgetSpent         Code = 4008
	RequestQuarantined       Code = 4009
	OutcomeUnknown           Code = 4010
	StreamOriginUnknown      Code = 4011
	StreamVersionUnavailable Code = 4012

	LedgerUnavailable   Code = 5001
	IdempotencyMismatch Code = 5002
	AlreadyRunning      Code = 5003
	WillNotRunAgain     Code = 5004

	ConfigurationStale Code = 6001
	InstanceDraining   Code = 6002
	Internal           Code = 6003

	ConfigInvalid    Code = 7001
	ConfigConflict   Code = 7002
	StoreUnavailable Code = 7003
	UnknownName      Code = 7004

	ConfigNotConfirmed Code = 7005
)

// Run states whether a request with a given result was executed by a backend server.
type Run string

// Values of Run.
const (
	RunNever   Run = "not run"          // always proven not to have run
	RunMaybe   Run = "may have run"     // never proven not to have run
	RunDepends Run = "see not_run flag" // the not_run flag of the response decides
)

// Info describes one code. docs/RESULTS.md is generated from it.
type Info struct {
	Code       Code
	Name       string
	HTTPStatus int
	Run        Run
	Meaning    string
	Caller     string // recommended action of the caller
	Operator   string // recommended action of the operator
}

const (
	fixRequest  = "correct the request"
	retry       = "retry"
	retryLater  = "retry after Retry-After"
	nothingToDo = "nothing"
)

// table lists all codes in ascending order.
var table = []Info{
	{BadRequest, "bad_request", http.StatusBadRequest, RunNever, "The request cannot be read.", fixRequest, nothingToDo},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, RunNever, "The headers exceed the limit.", fixRequest, "raise the limit in the settings if callers need it"},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, RunDepends, "The body exceeds the limit.", fixRequest, "raise the limit in the settings if callers need it"},
	{BodyTimeout, "body_timeout", http.StatusRequestTimeout, RunDepends, "The body did not arrive in time.", "send the body faster", nothingToDo},
	{UnknownRoute, "unknown_route", http.StatusNotFound, RunNever, "No route has this path.", fixRequest, nothingToDo},
	{UnknownModel, "unknown_model", http.StatusNotFound, RunNever, "The configuration has no such model.", "list the models with GET /v1/models", "add the model to the configuration"},
	{UnknownService, "unknown_service", http.StatusNotFound, RunNever, "The configuration has no such service.", fixRequest, "add the service to the configuration"},
	{UnknownClass, "unknown_class", http.StatusBadRequest, RunNever, "The class header names no class.", fixRequest, "add the class to the configuration"},
	{IdempotencyKeyMissing, "idempotency_key_missing", http.StatusBadRequest, RunNever, "A non-idempotent request needs an Idempotency-Key.", "send the header", nothingToDo},
	{MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, RunNever, "The route does not take this method.", fixRequest, nothingToDo},
	{UpgradeUnsupported, "upgrade_unsupported", http.StatusNotImplemented, RunNever, "The connection can't change to another protocol.", "use HTTP/1.1 or HTTP/2", nothingToDo},

	{KeyMissing, "key_missing", http.StatusUnauthorized, RunNever, "The request bears no key.", "send Authorization: Bearer KEY", nothingToDo},
	{KeyUnknown, "key_unknown", http.StatusUnauthorized, RunNever, "The key was never granted here.", "ask the operator for a key", "grant a key with `key grant`"},
	{KeyWithdrawn, "key_withdrawn", http.StatusUnauthorized, RunDepends, "The key was withdrawn.", "ask the operator for a key", "grant a new key if the withdrawal was an error"},
	{NotPermitted, "not_permitted", http.StatusForbidden, RunNever, "The organisation may not use this route or class.", fixRequest, "add the organisation to the service"},
	{StreamKeyWithdrawn, "stream_key_withdrawn", http.StatusUnauthorized, RunMaybe, "The key was withdrawn while the answer streamed.", "ask the operator for a key", nothingToDo},

	{Shed, "shed", http.StatusTooManyRequests, RunNever, "Load exceeds capacity and this request gave way.", retryLater, "watch attainment; add capacity if it lasts"},
	{DeadlineHopeless, "deadline_hopeless", http.StatusServiceUnavailable, RunNever, "The class's target can no longer be met.", retryLater, "watch attainment; add capacity if it lasts"},
	{QueueTimeout, "queue_timeout", http.StatusServiceUnavailable, RunNever, "The request waited for its class's full limit.", retryLater, "watch attainment; add capacity if it lasts"},
	{Preempted, "preempted", http.StatusServiceUnavailable, RunMaybe, "Work of a higher tier took the slot.", retryLater, "add capacity if it lasts"},
	{CallerGone, "caller_gone", 499, RunDepends, "The caller closed the connection.", nothingToDo, nothingToDo},

	{NoBackendServer, "no_backend_server", http.StatusServiceUnavailable, RunDepends, "No backend server can take the request.", retryLater, "see `status` for the backend servers' states"},
	{DependencyDown, "dependency_down", http.StatusServiceUnavailable, RunNever, "A service that this one depends on is down.", retryLater, "restore the service named in the message"},
	{ConnectFailed, "connect_failed", http.StatusBadGateway, RunNever, "No connection to a backend server came up.", retry, "see `timeline` for the backend server's failures"},
	{AttemptTimeout, "attempt_timeout", http.StatusGatewayTimeout, RunMaybe, "A backend server made no progress in time.", "retry only what is idempotent", "see `timeline` for the backend server"},
	{StreamBroken, "stream_broken", http.StatusBadGateway, RunMaybe, "The answer ended before its last event.", "retry only what is idempotent", "see `timeline` for the backend server"},
	{AnswerCrossed, "answer_crossed", http.StatusBadGateway, RunMaybe, "A backend server answered another attempt's id.", "retry only what is idempotent", "restart the backend server that crosses answers"},
	{BackendServerError, "backend_server_error", http.StatusBadGateway, RunMaybe, "A backend server reported a failure.", "retry only what is idempotent", "see the backend server's log"},
	{RetryBudgetSpent, "retry_budget_spent", http.StatusServiceUnavailable, RunDepends, "The class's retry budget is empty.", retryLater, "find why attempts fail; the budget refills by itself"},
	{RequestQuarantined, "request_quarantined", http.StatusUnprocessableEntity, RunDepends, "Backend servers crashed while running this request.", "change the request", "keep the request id and report it to the engine's maker"},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, RunMaybe, "A non-idempotent request was sent and its answer was lost.", "ask the service for the state; a resend will not run again", "see `timeline` for the request"},
	{StreamOriginUnknown, "stream_origin_unknown", http.StatusServiceUnavailable, RunDepends, "It is not known which software version of the backend servers began the stream.", "retry after Retry-After; without that field, start the stream anew", "check the platform's table service"},
	{StreamVersionUnavailable, "stream_version_unavailable", http.StatusServiceUnavailable, RunDepends, "No backend server of the software version that began the stream can take the request.", "retry after Retry-After; without that field, start the stream anew", "keep servers of the old version until their streams have ended"},

	{LedgerUnavailable, "ledger_unavailable", http.StatusServiceUnavailable, RunNever, "The idempotency record could not be read or written. Nothing is known of an earlier request with the same Idempotency-Key.", "retry after Retry-After with the same Idempotency-Key", "check the platform's table service"},
	{IdempotencyMismatch, "idempotency_mismatch", http.StatusUnprocessableEntity, RunNever, "The Idempotency-Key was used with another body.", "use a new key for a new request", nothingToDo},
	{AlreadyRunning, "already_running", http.StatusConflict, RunMaybe, "The same request still runs.", "retry with the same Idempotency-Key to get the answer", nothingToDo},
	{WillNotRunAgain, "outcome_unknown_will_not_run_again", http.StatusConflict, RunMaybe, "An earlier attempt's outcome is unknown; it will not run again.", "ask the service for the state", "see `timeline` for the request"},

	{ConfigurationStale, "configuration_stale", http.StatusServiceUnavailable, RunNever, "The instance cannot tell whether its configuration is current.", retry, "check the instance's links to peers and the table service"},
	{InstanceDraining, "instance_draining", http.StatusServiceUnavailable, RunDepends, "The instance stops. A request that ran may have had an effect.", retry, nothingToDo},
	{Internal, "internal", http.StatusInternalServerError, RunDepends, "A fault of the router.", "report the request id", "keep the log and report it"},

	{ConfigInvalid, "config_invalid", http.StatusUnprocessableEntity, RunNever, "The text has faults; nothing changed.", nothingToDo, "correct the faults listed"},
	{ConfigConflict, "config_conflict", http.StatusConflict, RunNever, "Another change came first; nothing changed.", nothingToDo, "read the current version and apply again"},
	{StoreUnavailable, "store_unavailable", http.StatusServiceUnavailable, RunNever, "The table service did not confirm the change.", nothingToDo, "run the command again; it is idempotent"},
	{UnknownName, "unknown_name", http.StatusNotFound, RunNever, "No such organisation, zone or key.", nothingToDo, "correct the name"},
	{ConfigNotConfirmed, "config_not_confirmed", http.StatusServiceUnavailable, RunNever, "The change is stored, but fewer than half of the instances confirmed it in time.", nothingToDo, "restore the links between the instances; the change takes force as they are reached"},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, i := range table {
		m[i.Code] = i
	}
	return m
}()

// Info returns the description of c, and false if the code is not defined.
func (c Code) Info() (Info, bool) {
	i, ok := byCode[c]
	return i, ok
}

// SendsRetryAfter reports whether the same request can succeed later, so that the
// response should have a Retry-After header.
func (c Code) SendsRetryAfter() bool {
	switch c {
	case Shed, DeadlineHopeless, QueueTimeout, Preempted,
		NoBackendServer, DependencyDown, ConnectFailed, RetryBudgetSpent,
		LedgerUnavailable, AlreadyRunning, ConfigurationStale, InstanceDraining:
		return true
	}
	return false
}

// Table returns a copy of the descriptions of all codes in ascending order.
func Table() []Info { return append([]Info(nil), table...) }
