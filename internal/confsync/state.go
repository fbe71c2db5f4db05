package confsync

import (
	"fmt"
	"maps"

	"github.com/hawthornwick/hawthornwick/internal/config"
)

// State is one version of the complete configuration. Values are immutable:
// Apply returns a new State.
type State struct {
	Version     uint64
	Text        string
	TextVersion uint64 // version that last changed the text

	keys  map[config.KeyDigest]keyRow
	zones map[string]zoneRow
}

// GapError reports that a change does not follow the state's version.
type GapError struct{ Have, Got uint64 }

// Error implements the error interface.
func (e *GapError) Error() string {
	return fmt.Sprintf("change %d does not follow version %d", e.Got, e.Have)
}

// Apply returns the state after the change. If the state already contains the
// change, it is returned as it is. If changes in between are missing, Apply
// returns *GapError.
func (s State) Apply(c Change) (State, error) {
	if c.Version <= s.Version {
		return s, nil
	}
	if c.Version != s.Version+1 {
		return s, &GapError{Have: s.Version, Got: c.Version}
	}
	next := s
	next.Version = c.Version
	switch c.Kind {
	case ChangeText:
		return next.applyText(c)
	case ChangeKeyGrant, ChangeKeyWithdraw:
		return next.applyKey(c), nil
	case ChangeZone:
		return next.applyZone(c), nil
	default:
		return s, fmt.Errorf("change %d has unknown kind %d", c.Version, c.Kind)
	}
}

func (s State) applyText(c Change) (State, error) {
	if c.Version <= s.TextVersion { // the text row already contains the change
		return s, nil
	}
	if c.Splice == nil {
		return s, fmt.Errorf("text change %d has no splice", c.Version)
	}
	text, err := c.Splice.Apply(s.Text)
	if err != nil {
		return s, fmt.Errorf("change %d: %w", c.Version, err)
	}
	s.Text = text
	s.TextVersion = c.Version
	return s, nil
}

func (s State) applyKey(c Change) State {
	row := s.keys[c.Key]
	if c.Version <= row.Version {
		return s
	}
	row.Version = c.Version
	if c.Kind == ChangeKeyWithdraw {
		row.Withdrawn = true
	} else if !row.Withdrawn {
		row.Organisation = c.Organisation
	}
	s.keys = maps.Clone(s.keys)
	if s.keys == nil {
		s.keys = make(map[config.KeyDigest]keyRow)
	}
	s.keys[c.Key] = row
	return s
}

func (s State) applyZone(c Change) State {
	if c.Version <= s.zones[c.Zone].Version {
		return s
	}
	s.zones = maps.Clone(s.zones)
	if s.zones == nil {
		s.zones = make(map[string]zoneRow)
	}
	s.zones[c.Zone] = zoneRow{Version: c.Version, Drained: c.Drained}
	return s
}

// snapshotKeys returns the keys with the pending withdrawals applied.
func (s State) snapshotKeys(pending Withdrawals) map[config.KeyDigest]config.KeyState {
	keys := make(map[config.KeyDigest]config.KeyState, len(s.keys)+len(pending))
	for d, row := range s.keys {
		keys[d] = config.KeyState{Organisation: row.Organisation, Withdrawn: row.Withdrawn}
	}
	for d := range pending {
		k := keys[d]
		k.Withdrawn = true
		keys[d] = k
	}
	return keys
}

func (s State) drainedZones() map[string]bool {
	zones := make(map[string]bool, len(s.zones))
	for name, row := range s.zones {
		if row.Drained {
			zones[name] = true
		}
	}
	return zones
}
