// Package timeline records typed events in a bounded ring buffer per process and
// merges the buffers of several processes into one timeline.
package timeline

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// Kind is the type of an event. Values are stable, since operators' scripts match them.
type Kind string

// Kinds of the request path. Each comment lists the fields that the kind sets.
const (
	RequestReceived   Kind = "request.received"   // Request, Organisation, Class, Tier, Idempotent
	RequestQueued     Kind = "request.queued"     // Request, Tier, Class, Service
	RequestAdmitted   Kind = "request.admitted"   // Request, Tier, Class, Service
	RequestShed       Kind = "request.shed"       // Request, Tier, Class, Service, Code; OtherTier: lowest tier in the queue at that time
	RequestPreempted  Kind = "request.preempted"  // Request, Tier, Server; OtherTier: tier of the request that got the slot
	RequestAnswered   Kind = "request.answered"   // complete response delivered; Request, Server, Count: events or 1; Attempt, or Record for a stored response
	RequestRefused    Kind = "request.refused"    // Request, Code, NotRun; Record if there is one
	RequestFailed     Kind = "request.failed"     // Request, Code, NotRun; failed after an attempt was sent, so the request may have run
	AttemptStarted    Kind = "attempt.started"    // Request, Attempt, Server, Zone, Organisation, Tier, Idempotent, Record, KeyDigest
	AttemptSent       Kind = "attempt.sent"       // first byte is about to be written; fields as AttemptStarted. A Record equal to the attempt's id names the attempt itself
	AttemptAnswered   Kind = "attempt.answered"   // Attempt, Server; Count: events of the complete response, including those before a resume
	AttemptFailed     Kind = "attempt.failed"     // Attempt, Server, Code, Detail
	AttemptDeclined   Kind = "attempt.declined"   // Attempt, Server, Code, Detail; the backend server confirmed that it did not run the request
	AttemptUnframed   Kind = "attempt.unframed"   // an answer ended with its connection, or a stream at its server's deadline; Attempt, Server, Count: events; State: what a check of the server found, Duration: from the end to its result, Detail: what was concluded
	AttemptDiscarded  Kind = "attempt.discarded"  // Attempt; Detail: attempt id in the response
	KeyAccepted       Kind = "key.accepted"       // Request, Organisation, KeyDigest
	RecordInserted    Kind = "record.inserted"    // Record, Attempt: the only attempt that may be sent
	RecordAnswered    Kind = "record.answered"    // Record
	RecordReleased    Kind = "record.released"    // Record, Attempt: confirmed not run
	QuarantineAdded   Kind = "quarantine.added"   // Record: fingerprint of the request; Server; Count: crashes observed; Detail: the prompt's shared parts
	QuarantinePart    Kind = "quarantine.part"    // Subject: parts of prompts; State: refused, released or trial; Count: crashes; Detail: whether the crashes have no other explanation; Record, Server: of a trial
	QuarantineRefused Kind = "quarantine.refused" // Record: fingerprint of the request; Request
)

// Kinds of configuration, membership and duties.
const (
	ConfigAccepted   Kind = "config.accepted"  // Version: committed in the table service
	ConfigApplied    Kind = "config.applied"   // Version: active on Instance; Detail: its size
	ConfigRefused    Kind = "config.refused"   // Subject: row, or Version; Detail: the error. The last valid configuration stays active
	SettingsRead     Kind = "settings.read"    // State: unchanged, changed (active after the next start) or refused; Detail: the error
	TableUnavailable Kind = "table.lost"       // Subject: table that became unavailable; Detail: the error
	TableRecovered   Kind = "table.regained"   // Subject: table that is available again; Version
	TableReloaded    Kind = "table.reread"     // Subject: table; read in full, since its change history had been compacted
	StoreRestored    Kind = "store.restored"   // Version: newest one; Detail: epochs of the store, what is dropped, kept and written again
	KeyGranted       Kind = "key.granted"      // KeyDigest, Organisation, Version
	KeyWithdrawn     Kind = "key.withdrawn"    // KeyDigest, Organisation, Version
	ZoneDrained      Kind = "zone.out"         // Zone, Version
	ZoneRestored     Kind = "zone.in"          // Zone, Version
	InstanceStarted  Kind = "instance.started" // Zone
	InstanceDraining Kind = "instance.drains"
	InstanceStopped  Kind = "instance.stopped" // Count: requests cut off; Duration: of the stop; State "forced" if an operator forced the stop; Detail: requests refused, connections closed unread
	InstanceStale    Kind = "instance.stale"   // accepts no new requests, since its configuration may be out of date
	LoadsResumed     Kind = "loads.heard"      // Peer: instance whose load reports arrive again; State: what it is to this one, peer, source or follower
	LoadsInterrupted Kind = "loads.lost"       // Peer: instance whose load reports no longer arrive; Detail: why
	LoadsExcess      Kind = "loads.excess"     // Server, Zone, Service, Count: requests in flight as reported by the other instances, more than the server can hold; Detail: the limit
	StreamContinued  Kind = "stream.continued" // as a failed attempt, Count: events so far: the run was ended since its server leaves, and is continued on another one; Detail: the inputs
	TightSetChanged  Kind = "placement.tight"  // Service, Count: servers preferred for streams with tight targets between events; Detail: the inputs
	FeedSource       Kind = "feed.source"      // State: store, serves or source (where the tables are read from); Peer: the source; Detail: why
	PeerUp           Kind = "peer.up"          // Peer
	PeerDown         Kind = "peer.down"        // Peer
	LeaseAcquired    Kind = "lease.acquired"   // Duty, Token, Until
	LeaseRenewed     Kind = "lease.renewed"    // Duty, Token, Until
	LeaseLost        Kind = "lease.lost"       // Duty, Token
	LeaseReleased    Kind = "lease.released"   // Duty, Token
	OrderIntended    Kind = "order.intended"   // Order, Duty, Token
	OrderSent        Kind = "order.sent"       // Order, Duty, Token, Server or Zone; State: kind of order, such as "return"
	OrderConfirmed   Kind = "order.confirmed"  // Order, Duty, Token
	OrderRefused     Kind = "order.refused"    // as OrderSent: no such backend servers are available now
	OrderUnanswered  Kind = "order.unanswered" // as OrderSent; Detail: the error
	UsageFrozen      Kind = "usage.frozen"     // one usage line: Window, Organisation, Class, Service, Count: tokens; Subject: earlier window that a late line belongs to
	UsageReported    Kind = "usage.reported"   // one usage line: as UsageFrozen, and Duty, Token
	UsageMetered     Kind = "usage.metered"    // Request, Organisation, Count: tokens
	UsageDelayed     Kind = "usage.delayed"    // Window; Detail: why the report is delayed
	UsageAbandoned   Kind = "usage.past_due"   // Window: its report was abandoned
	ServerState      Kind = "server.state"     // Server, Zone, Service, State; Detail: fields of its entry
	ServerSuspect    Kind = "server.suspect"   // Server, Zone, Service; State: outcome of the attempt, Duration: time without new requests
	ServerRecovered  Kind = "server.trusted"   // Server, Zone, Service; a suspect server responded and is used again
	ServerLeaving    Kind = "server.leaving"   // Server, Zone, Service; Detail: the answer in which the server stated that it stops soon
	ServerPaused     Kind = "server.paused"    // Server, Zone, Service, Duration: time for which the server wants no requests from this instance; Detail: the answer
	ServerRateLimit  Kind = "server.rate"      // Server, Zone, Service; Detail: requests per second that the server takes from all instances together, 0 if it names no limit any more; the answer
	ServerMalformed  Kind = "server.malformed" // Server, Zone, Service; Detail: a field of an answer that was left out or bounded
	ServerCold       Kind = "server.cold"      // Server, Zone, Service, Duration: time it counts as cold, since its zone was restored
	ServerPace       Kind = "server.pace"      // Server, Service; State: slow or normal; Detail: the estimate, its observations and their age
	ServersExpired   Kind = "servers.lapsed"   // Count: servers removed because they did not register again after an outage
	ServerLimit      Kind = "server.limit"     // Server, Count: requests that a cold server accepts; 0 if it is warm
	RolloutOrdered   Kind = "rollout.ordered"  // Service, Version: of the order's row; Detail: the order; State: "ignored" if the settings have no bounds, "withdrawn" if the row was removed
	RolloutBad       Kind = "rollout.response" // Request, Attempt, Server, Service; Detail: the version of its server and how the response was bad
	RolloutVerdict   Kind = "rollout.verdict"  // Service, Version: of the order's row; State: own or heard; Peer: the instance it was heard from; Duration: age of the oldest report in use; Detail: the evidence
	RolloutStep      Kind = "rollout.step"     // Service, Version: of the order's row; State: phase, From: the earlier one; Count: step; Duty, Token; Duration: as in RolloutVerdict; Detail: the inputs
	StateEntered     Kind = "state.entered"    // Chart, Subject, From, State; Detail: event that caused the transition
	LogLinesDropped  Kind = "log.left_out"     // Subject: kind of the dropped log lines, Count
)

// Kinds recorded by the stand-ins. They are the ground truth that the router's own
// events are checked against.
const (
	BackendRan           Kind = "backend.ran"      // Server, Attempt, Record: an execution took effect
	BackendReceived      Kind = "backend.received" // Server, Attempt, Count: now in flight; KeyDigest if the request had a key
	BackendMisattributed Kind = "backend.crossed"  // Server, Attempt; Detail: id of another attempt that its response carried
	PlatformOrder        Kind = "platform.order"   // Order, Duty, Token: an order took effect
	PlatformUsage        Kind = "platform.usage"   // one usage line as reported, Duty, Token: the report took effect
)

// Event is one entry of the timeline. Fields that its kind does not use are zero
// and are omitted from the JSON form.
type Event struct {
	Time     time.Time `json:"time"`     // wall clock of the recording process
	Instance string    `json:"instance"` // name of the recording process
	Sequence uint64    `json:"sequence"` // increases by one per event of a process
	Kind     Kind      `json:"kind"`

	Request      string        `json:"request,omitempty"`
	Attempt      string        `json:"attempt,omitempty"`
	Organisation string        `json:"organisation,omitempty"`
	Class        string        `json:"class,omitempty"`
	Tier         int           `json:"tier,omitempty"`       // 1 is the highest; 0 is unset
	OtherTier    int           `json:"other_tier,omitempty"` // see the kind
	Idempotent   bool          `json:"idempotent,omitempty"`
	Server       string        `json:"server,omitempty"`
	Zone         string        `json:"zone,omitempty"`
	Service      string        `json:"service,omitempty"` // model or plain service
	KeyDigest    string        `json:"key_digest,omitempty"`
	Record       string        `json:"record,omitempty"` // digest of organisation and idempotency key
	Code         result.Code   `json:"code,omitempty"`
	NotRun       bool          `json:"not_run,omitempty"`
	Version      uint64        `json:"version,omitempty"` // configuration version
	Peer         string        `json:"peer,omitempty"`
	Duty         string        `json:"duty,omitempty"`
	Token        uint64        `json:"token,omitempty"` // fencing token
	Until        time.Time     `json:"until,omitzero"`
	Order        string        `json:"order,omitempty"`
	Window       string        `json:"window,omitempty"`
	Count        int64         `json:"count,omitempty"`
	Duration     time.Duration `json:"duration,omitempty"` // nanoseconds
	Chart        string        `json:"chart,omitempty"`
	Subject      string        `json:"subject,omitempty"`
	From         string        `json:"from,omitempty"`
	State        string        `json:"state,omitempty"`
	Detail       string        `json:"detail,omitempty"` // free text without secrets
}

// Recorder records events. Implementations set Instance and Sequence, and Time
// if it is zero. They are safe for concurrent use and never block on I/O.
type Recorder interface {
	Record(Event)
}

// Discard is a Recorder that discards all events.
var Discard Recorder = discard{}

type discard struct{}

// Record implements Recorder.
func (discard) Record(Event) {}
