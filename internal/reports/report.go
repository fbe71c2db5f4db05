package reports

import (
	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
)

// Report is one message to a subscriber. It covers the sending instance and all
// instances whose reports the subscriber does not receive directly.
type Report struct {
	// Loads holds the load by server ID. Servers without load are left out.
	Loads map[string]balance.Load `cbor:"1,keyasint,omitempty"`
	// Sent holds the prompts sent since the last report.
	Sent []balance.SentPrompt `cbor:"2,keyasint,omitempty"`
	// Crashes holds the notices of crashed servers since the last report. The first
	// report carries all known notices.
	Crashes []quarantine.Notice `cbor:"3,keyasint,omitempty"`
}

// Role is an instance's role in the exchange of reports.
type Role string

// Roles.
const (
	// Reader subscribes to all other readers and to its own followers.
	Reader Role = "reader"
	// Follower subscribes to one reader.
	Follower Role = "follower"
)
