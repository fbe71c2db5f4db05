// Package operator serves the operators' HTTP API of one instance: health,
// metrics, profiles, the timeline, the configuration, keys, availability zones,
// status and drain.
package operator

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// Paths of the API. LivePath, ReadyPath and MetricsPath need no token.
const (
	LivePath        = "/live"         // GET: 200 while the process runs
	ReadyPath       = "/ready"        // GET: 200 if the instance accepts new requests, else 503
	MetricsPath     = "/metrics"      // GET: metrics in the Prometheus text format
	ProfilePath     = "/debug/pprof/" // GET: profiles of the Go runtime
	TimelinePath    = "/timeline"     // GET: events as JSON lines, oldest first
	ConfigPath      = "/config"       // GET: ConfigAnswer; PUT: ApplyRequest, answers ChangeAnswer
	ConfigCheckPath = "/config/check" // POST: CheckRequest, answers CheckAnswer
	KeysPath        = "/keys"         // GET: []KeyAnswer; POST: GrantRequest, answers ChangeAnswer
	KeyPath         = "/keys/"        // DELETE /keys/DIGEST: answers ChangeAnswer
	ZonePath        = "/zones/"       // PUT /zones/ZONE: ZoneRequest, answers ChangeAnswer
	StatusPath      = "/status"       // GET: Status
	DrainPath       = "/drain"        // POST: DrainRequest or no body, answers 202
	InForcePath     = "/in-force"     // GET: []config.InstanceVersion
)

// DroppedEventsHeader carries the number of older events that the ring has dropped.
const DroppedEventsHeader = "Hawthornwick-Events-Lost"

// ConfigAnswer is the configuration in force on the instance.
type ConfigAnswer struct {
	Version  uint64   `json:"version"`
	Text     string   `json:"text"`
	ZonesOut []string `json:"zones_out"`
}

// ApplyRequest commits a configuration text. It is refused if the text was changed
// after version Base.
type ApplyRequest struct {
	Base uint64 `json:"base"` // 0 means that no text was applied before
	Text string `json:"text"`
}

// ChangeAnswer is the result of a configuration change.
type ChangeAnswer struct {
	Version uint64 `json:"version"` // version that contains the change; 0 if Pending
	// Pending reports that the change is in force on all reachable instances, but
	// will be written only when the table service is available again.
	Pending bool `json:"pending,omitempty"`
}

// CheckRequest validates a configuration text. File is the name used in faults.
type CheckRequest struct {
	File string `json:"file"`
	Text string `json:"text"`
}

// CheckAnswer lists the faults of a text. Empty means that it is valid.
type CheckAnswer struct {
	Faults []config.Fault `json:"faults"`
}

// GrantRequest grants the key with the digest to the organisation.
type GrantRequest struct {
	Digest       config.KeyDigest `json:"digest"`
	Organisation string           `json:"organisation"`
}

// KeyAnswer is one key that was granted, whether or not it was withdrawn.
type KeyAnswer struct {
	Digest       config.KeyDigest `json:"digest"`
	Organisation string           `json:"organisation"`
	Withdrawn    bool             `json:"withdrawn"`
}

// ZoneRequest drains an availability zone or returns it to service.
type ZoneRequest struct {
	Out bool `json:"out"`
}

// DrainRequest starts a planned stop, or a forced one.
type DrainRequest struct {
	Force bool `json:"force"` // cancel requests that are still running
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

// Status is the state of one instance and its view of peers and backend servers.
type Status struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Region   string `json:"region,omitempty"`
	// State is the instance's lifecycle state, such as ready or draining.
	State string `json:"state"`
	// Ready reports whether the instance accepts new requests. If not, Reason says why.
	Ready   bool      `json:"ready"`
	Reason  string    `json:"reason,omitempty"`
	Started time.Time `json:"started"`
	// Version is the configuration version in force. Fresh reports whether it is
	// known to be current.
	Version  uint64         `json:"version"`
	Fresh    bool           `json:"fresh"`
	ZonesOut []string       `json:"zones_out"`
	Classes  []ClassStatus  `json:"classes"`
	Servers  []ServerStatus `json:"servers"`
	Peers    []PeerStatus   `json:"peers"`
	Duties   []DutyStatus   `json:"duties"`
	Requests RequestCounts  `json:"requests"`
}

// RequestCounts counts requests since the start of the instance.
type RequestCounts struct {
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

// ServerStatus is the instance's view of one backend server.
type ServerStatus struct {
	Name     string `json:"name"`
	Pool     string `json:"pool"` // model or plain service
	Zone     string `json:"zone"`
	State    string `json:"state"`
	InFlight int    `json:"in_flight"` // requests sent by this instance
	Limit    int    `json:"limit"`     // maximum in-flight requests of this instance
	Cheap    bool   `json:"cheap"`
}

// PeerStatus is the instance's view of another instance.
type PeerStatus struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Up       bool   `json:"up"`
	Leaving  bool   `json:"leaving"`
	Version  uint64 `json:"version"` // last received configuration version
}

// DutyStatus is a duty whose lease the instance holds.
type DutyStatus struct {
	Duty  string `json:"duty"`
	Token uint64 `json:"token"` // fencing token of the lease
}
