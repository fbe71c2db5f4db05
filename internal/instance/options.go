// Package instance wires one process: it provisions every component from the
// settings, runs them, and stops them gracefully.
package instance

import (
	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/settings"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Options are what a process gives its instance beside the settings.
type Options struct {
	// Settings are the process's static settings. Required.
	Settings *settings.Settings
	// Logger takes the instance's log lines. Required.
	Logger hclog.Logger
	// Ring keeps the time line. Nil means a new one of the settings' size.
	Ring *timeline.Ring
	// PeerIdentity replaces the certificates that the settings name. Nil means
	// that they are read from the settings' files.
	PeerIdentity *peer.Identity
}
