package reports

import (
	"github.com/hawthornwick/hawthornwick/internal/balance"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
)

// Report is what one instance tells another: on its own behalf, and on behalf of
// those that the other does not hear itself.
type Report struct {
	// Loads are by server; one without any load is left out.
	Loads map[string]balance.Load `cbor:"1,keyasint,omitempty"`
	// Sent are the prompts sent since the last report.
	Sent []balance.Sent `cbor:"2,keyasint,omitempty"`
	// Crashes are the notices of crashed servers made since the last report; in the
	// first one all that are known.
	Crashes []quarantine.Notice `cbor:"3,keyasint,omitempty"`
}

// Role is an instance's part among those that share loads.
type Role string

// Roles.
const (
	// Reader hears all other readers and its own followers.
	Reader Role = "reader"
	// Follower hears one reader.
	Follower Role = "follower"
)
