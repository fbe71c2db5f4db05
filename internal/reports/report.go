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
	// Limits holds the rate limits that servers have stated to the origin.
	Limits []balance.NamedLimit `cbor:"8,keyasint,omitempty"`
	// Topics holds the encoded states that are new since the last snapshot, by topic name.
	Topics map[string][]byte `cbor:"9,keyasint,omitempty"`
}

func (s *Snapshot) age() time.Duration { return time.Duration(s.AgeMillis) * time.Millisecond }

func (s *Snapshot) uptime() time.Duration { return time.Duration(s.UptimeMillis) * time.Millisecond }

// Relation is what another instance is to this one in the exchange of reports.
type Relation string

// Relations.
const (
	// RelationPeer: both instances read the store. Peers subscribe to each other.
	RelationPeer Relation = "peer"
	// RelationSource: this instance follows the other one and subscribes to it alone.
	RelationSource Relation = "source"
	// RelationFollower: the other instance follows this one, which subscribes to it in
	// turn.
	RelationFollower Relation = "follower"
)

// inverse returns what this instance is to the other one. It returns false for an
// unknown relation.
func (r Relation) inverse() (Relation, bool) {
	switch r {
	case RelationPeer:
		return RelationPeer, true
	case RelationSource:
		return RelationFollower, true
	case RelationFollower:
		return RelationSource, true
	}
	return "", false
}
