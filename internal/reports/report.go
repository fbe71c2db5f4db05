package reports

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
)

// Report is one message to a subscriber.
type Report struct {
	// Snapshots holds the loads that are new since the last report, at most one for
	// each instance.
	Snapshots []Snapshot `cbor:"1,keyasint,omitempty"`
	// Crashes holds the notices of crashed servers since the last report. The first
	// report carries all known notices.
	Crashes []quarantine.Notice `cbor:"2,keyasint,omitempty"`
}

// Snapshot is the load of one instance, its origin, at one moment. Instances forward
// it unchanged but for its age.
type Snapshot struct {
	// Origin is the name of the instance.
	Origin string `cbor:"1,keyasint"`
	// Incarnation is a random number that identifies the origin's start.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence increases with each snapshot of an incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// UptimeMillis is the time from the start of the incarnation to the snapshot.
	UptimeMillis int64 `cbor:"4,keyasint"`
	// AgeMillis is the time since the snapshot was taken, without the time spent on
	// connections.
	AgeMillis int64 `cbor:"5,keyasint,omitempty"`
	// Loads holds the load by server ID. Servers without load are left out.
	Loads map[string]balance.Load `cbor:"6,keyasint,omitempty"`
	// Sent holds the prompts that the origin sent to servers since the snapshot
	// that the subscriber last received.
	Sent []balance.SentPrompt `cbor:"7,keyasint,omitempty"`
}

func (s *Snapshot) age() time.Duration { return time.Duration(s.AgeMillis) * time.Millisecond }

func (s *Snapshot) uptime() time.Duration { return time.Duration(s.UptimeMillis) * time.Millisecond }

// Role is an instance's role in the exchange of reports.
type Role string

// Roles.
const (
	// Reader subscribes to all other readers and to its own followers.
	Reader Role = "reader"
	// Follower subscribes to one reader.
	Follower Role = "follower"
)
