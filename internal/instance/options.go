// Package instance assembles one router process: it builds all components from
// the settings, runs them and stops them gracefully.
package instance

import (
	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/settings"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Options configure an Instance.
type Options struct {
	// Settings are the process's static settings. Required.
	Settings *settings.Settings
	// Logger is the instance's logger. Required.
	Logger hclog.Logger
	// Ring holds the timeline. If nil, a ring of the size in the settings is created.
	Ring *timeline.Ring
	// PeerIdentity is the identity for connections between instances. If nil, it
	// is read from the files named in the settings.
	PeerIdentity *peer.Identity
}
