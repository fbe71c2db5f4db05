// Package timeline records typed events in a bounded ring per process and
// merges the rings of several processes into one history.
package timeline

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// Kind names what happened. Kinds are stable: operators' scripts read them.
type Kind string

// Kinds of the request path.
const (
	RequestReceived   Kind = "request.received"   // Request, Organisation, Class, Tier, Idempotent
	RequestQueued     Kind = "request.queued"     // Request, Tier, Class, Service
	RequestAdmitted   Kind = "request.admitted"   // Request, Tier, Class, Service
	RequestShed       Kind = "request.shed"       // Request, Tier, Class, Service, Code; OtherTier: lowest tier then waiting
	RequestPreempted  Kind = "request.preempted"  // Request, Tier, Server; OtherTier: tier that took the slot
	RequestAnswered   Kind = "request.answered"   // whole answer delivered; Request, Server, Count: events or 1; Attempt, or Record for a stored answer
	RequestRefused    Kind = "request.refused"    // Request, Code, NotRun; Record if there is one
	RequestFailed     Kind = "request.failed"     // Request, Code, NotRun; ended after something was sent
	AttemptStarted    Kind = "attempt.started"    // Request, Attempt, Server, Zone, Organisation, Tier, Idempotent, Record, KeyDigest
	AttemptSent       Kind = "attempt.sent"       // first byte is about to be written; same fields. A Record that is the attempt's own id stands for that id
	AttemptAnswered   Kind = "attempt.answered"   // Attempt, Server; Count: events of the whole answer, those before a resume included
	AttemptFailed     Kind = "attempt.failed"     // Attempt, Server, Code, Detail
	AttemptDeclined   Kind = "attempt.declined"   // Attempt, Server, Code, Detail; the backend server proved that it did not run the request
	AttemptDiscarded  Kind = "attempt.discarded"  // Attempt; Detail: the id that the answer bore
	KeyAccepted       Kind = "key.accepted"       // Request, Organisation, KeyDigest
	RecordInserted    Kind = "record.inserted"    // Record, Attempt: this attempt alone may dispatch
	RecordAnswered    Kind = "record.answered"    // Record
	RecordReleased    Kind = "record.released"    // Record, Attempt: proved not run
	QuarantineAdded   Kind = "quarantine.added"   // Fingerprint in Record, Server; Count: crashes seen
	QuarantineRefused Kind = "quarantine.refused" // Fingerprint in Record, Request
)

// Kinds of configuration, membership and duties.
const (
	ConfigAccepted  Kind = "config.accepted"  // Version: committed in the table service
	ConfigApplied   Kind = "config.applied"   // Version: in force on Instance; Detail: its size
	ConfigRefused   Kind = "config.refused"   // Subject: row, or Version; Detail: the fault. The last one stays in force
	SettingsRead    Kind = "settings.read"    // State: unchanged, changed (in force at the next start) or refused; Detail: the fault
	TableLost       Kind = "table.lost"       // Subject: table; Detail: the error
	TableRegained   Kind = "table.regained"   // Subject: table, Version
	TableReread     Kind = "table.reread"     // Subject: table; its history no longer reached back
	KeyGranted      Kind = "key.granted"      // KeyDigest, Organisation, Version
	KeyWithdrawn    Kind = "key.withdrawn"    // KeyDigest, Organisation, Version
	ZoneOut         Kind = "zone.out"         // Zone, Version
	ZoneIn          Kind = "zone.in"          // Zone, Version
	InstanceStarted Kind = "instance.started" // Zone
	InstanceDrains  Kind = "instance.drains"
	InstanceStopped Kind = "instance.stopped" // Count: requests cut off; State "forced" when an operator gave them up
	InstanceStale   Kind = "instance.stale"   // takes no new work: configuration may be old
	LoadsHeard      Kind = "loads.heard"      // Peer: an instance whose loads are heard again; State: its role
	LoadsLost       Kind = "loads.lost"       // Peer: an instance whose loads are no longer heard; Detail: why
	FeedSource      Kind = "feed.source"      // State: store, serves or source; Peer: the source; Detail: why
	PeerUp          Kind = "peer.up"          // Peer
	PeerDown        Kind = "peer.down"        // Peer
	LeaseAcquired   Kind = "lease.acquired"   // Duty, Token, Until
	LeaseRenewed    Kind = "lease.renewed"    // Duty, Token, Until
	LeaseLost       Kind = "lease.lost"       // Duty, Token
	LeaseReleased   Kind = "lease.released"   // Duty, Token
	OrderIntended   Kind = "order.intended"   // Order, Duty, Token
	OrderSent       Kind = "order.sent"       // Order, Duty, Token, Server or Zone; State: kind of order, such as "return"
	OrderConfirmed  Kind = "order.confirmed"  // Order, Duty, Token
	OrderRefused    Kind = "order.refused"    // as order.sent: there are no such backend servers now
	OrderUnanswered Kind = "order.unanswered" // as order.sent; Detail: the error
	UsageFrozen     Kind = "usage.frozen"     // a line: Window, Organisation, Class, Service, Count: tokens; Subject: earlier window of a late line
	UsageReported   Kind = "usage.reported"   // a line: as frozen, and Duty, Token
	UsageMetered    Kind = "usage.metered"    // Request, Organisation, Count: tokens
	UsageDelayed    Kind = "usage.delayed"    // Window; Detail: why it is not reported yet
	UsagePastDue    Kind = "usage.past_due"   // Window: its report is given up
	ServerState     Kind = "server.state"     // Server, Zone, Service, State; Detail: what its entry says
	ServerSuspect   Kind = "server.suspect"   // Server, Zone, Service; State: outcome of the attempt, Duration: without work
	ServerTrusted   Kind = "server.trusted"   // Server, Zone, Service; it answered after it was suspect
	ServerCold      Kind = "server.cold"      // Server, Zone, Service, Duration: counts as cold; its zone came back
	ServersLapsed   Kind = "servers.lapsed"   // Count: servers that did not come back after an outage
	ServerLimit     Kind = "server.limit"     // Server, Count: requests that a cold server bears; 0 when warm
	StateEntered    Kind = "state.entered"    // Chart, Subject, From, State, Detail: the event
	LogLeftOut      Kind = "log.left_out"     // Subject: kind of the lines that were left out, Count
)

// Kinds recorded by the stand-ins; they state what truly happened.
const (
	BackendRan      Kind = "backend.ran"      // Server, Attempt, Record: an execution took effect
	BackendReceived Kind = "backend.received" // Server, Attempt, Count: now in flight; KeyDigest if a key was seen
	BackendCrossed  Kind = "backend.crossed"  // Server, Attempt; Detail: the other attempt's id that its answer bore
	PlatformOrder   Kind = "platform.order"   // Order, Duty, Token: an order took effect
	PlatformUsage   Kind = "platform.usage"   // a line as reported, Duty, Token: it took effect
)

// Event is one entry of the time line. Fields that a kind does not use are zero
// and are omitted from the encoded form.
type Event struct {
	Time     time.Time `json:"time"`     // wall clock of the recording process
	Instance string    `json:"instance"` // name of the recording process
	Sequence uint64    `json:"sequence"` // rises by one per event of one process
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
	Token        uint64        `json:"token,omitempty"` // fencing number
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

// Recorder takes events. Implementations set Instance and Sequence, and Time
// where it is zero. They are safe for concurrent use and never block on I/O.
type Recorder interface {
	Record(Event)
}

// Discard is a Recorder that keeps nothing.
var Discard Recorder = discard{}

type discard struct{}

// Record implements Recorder.
func (discard) Record(Event) {}
