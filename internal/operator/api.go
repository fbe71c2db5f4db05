// Package operator serves the operators' HTTP API of one instance: health,
// metrics, profiles, the time line, the configuration, keys, availability
// zones, status and drain.
package operator

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// Paths of the API. Live, Ready and Metrics need no token.
const (
	LivePath        = "/live"         // GET: 200 while the process answers
	ReadyPath       = "/ready"        // GET: 200 when the instance takes new requests, else 503
	MetricsPath     = "/metrics"      // GET: metrics in the Prometheus text format
	ProfilePath     = "/debug/pprof/" // GET: profiles of the Go runtime
	TimelinePath    = "/timeline"     // GET: events, one JSON object a line, oldest first
	ConfigPath      = "/config"       // GET: ConfigAnswer; PUT: ApplyRequest, answers ChangeAnswer
	ConfigCheckPath = "/config/check" // POST: CheckRequest, answers CheckAnswer
	KeysPath        = "/keys"         // GET: []KeyAnswer; POST: GrantRequest, answers ChangeAnswer
	KeyPath         = "/keys/"        // DELETE /keys/DIGEST: answers ChangeAnswer
	ZonePath        = "/zones/"       // PUT /zones/ZONE: ZoneRequest, answers ChangeAnswer
	StatusPath      = "/status"       // GET: Status
	DrainPath       = "/drain"        // POST: DrainRequest or no body, answers 202
	InForcePath     = "/in-force"     // GET: []config.InstanceVersion
)

// LostEventsHeader tells how many older events the ring no longer holds.
const LostEventsHeader = "Hawthornwick-Events-Lost"

// ConfigAnswer is the configuration in force on the instance.
type ConfigAnswer struct {
	Version  uint64   `json:"version"`
	Text     string   `json:"text"`
	ZonesOut []string `json:"zones_out"`
}

// ApplyRequest commits a text unless it was changed after version Base.
type ApplyRequest struct {
	Base uint64 `json:"base"` // 0: nothing was applied before
	Text string `json:"text"`
}

// ChangeAnswer tells the version that a change made.
type ChangeAnswer struct {
	Version uint64 `json:"version"` // 0 while Pending
	// Pending says that the change is in force on the instances that can be
	// reached and is written once the table service answers again.
	Pending bool `json:"pending,omitempty"`
}

// CheckRequest asks for the faults of a text; File appears in them.
type CheckRequest struct {
	File string `json:"file"`
	Text string `json:"text"`
}

// CheckAnswer lists the faults of a text; none means that it is valid.
type CheckAnswer struct {
	Faults []config.Fault `json:"faults"`
}

// GrantRequest lets the key with the digest act for the organisation.
type GrantRequest struct {
	Digest       config.KeyDigest `json:"digest"`
	Organisation string           `json:"organisation"`
}

// KeyAnswer is one key.
type KeyAnswer struct {
	Digest       config.KeyDigest `json:"digest"`
	Organisation string           `json:"organisation"`
	Withdrawn    bool             `json:"withdrawn"`
}

// ZoneRequest takes an availability zone out or back in.
type ZoneRequest struct {
	Out bool `json:"out"`
}

// DrainRequest starts a planned stop.
type DrainRequest struct {
	Force bool `json:"force"` // cut off what still runs
}

// ErrorAnswer is the body of every failure.
type ErrorAnswer struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody describes a failure; see docs/RESULTS.md for the codes.
type ErrorBody struct {
	Code    result.Code    `json:"code"`
	Type    string         `json:"type"`
	Message string         `json:"message"`
	NotRun  bool           `json:"not_run"`
	Faults  []config.Fault `json:"faults,omitempty"`
}

// Status is what one instance knows.
type Status struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Region   string `json:"region,omitempty"`
	// State is the state of the instance's chart, such as ready or draining.
	State string `json:"state"`
	// Ready tells whether the instance takes new requests; Reason says why not.
	Ready   bool      `json:"ready"`
	Reason  string    `json:"reason,omitempty"`
	Started time.Time `json:"started"`
	// Version is the configuration version in force, Fresh whether it is known
	// to be current.
	Version  uint64          `json:"version"`
	Fresh    bool            `json:"fresh"`
	ZonesOut []string        `json:"zones_out"`
	Classes  []ClassStatus   `json:"classes"`
	Servers  []ServerStatus  `json:"servers"`
	Peers    []PeerStatus    `json:"peers"`
	Duties   []DutyStatus    `json:"duties"`
	Requests RequestsInBrief `json:"requests"`
}

// RequestsInBrief counts requests since the start of the instance.
type RequestsInBrief struct {
	Open     int64 `json:"open"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	Failed   int64 `json:"failed"`
}

// ClassStatus is the load of one class on the instance.
type ClassStatus struct {
	Name    string `json:"name"`
	Tier    int    `json:"tier"`
	Queued  int    `json:"queued"`
	Running int    `json:"running"`
}

// ServerStatus is one backend server as the instance sees it.
type ServerStatus struct {
	Name     string `json:"name"`
	Pool     string `json:"pool"` // model or plain service
	Zone     string `json:"zone"`
	State    string `json:"state"`
	InFlight int    `json:"in_flight"` // requests of this instance
	Limit    int    `json:"limit"`     // requests that this instance may have in flight
	Cheap    bool   `json:"cheap"`
}

// PeerStatus is another instance as this one sees it.
type PeerStatus struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Up       bool   `json:"up"`
	Leaving  bool   `json:"leaving"`
	Version  uint64 `json:"version"` // configuration version last heard
}

// DutyStatus is a control duty that the instance holds.
type DutyStatus struct {
	Duty  string `json:"duty"`
	Token uint64 `json:"token"` // fencing token of the tenure
}
