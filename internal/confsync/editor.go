package confsync

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// acceptTimeout bounds the wait for confirmation by other instances.
const acceptTimeout = 6 * time.Second

// Apply implements config.Editor. Only a change of the text since base is a
// conflict; changes of keys and availability zones are not.
func (s *Store) Apply(ctx context.Context, text string, base uint64) (uint64, error) {
	if _, err := s.options.Compile(text); err != nil {
		return 0, err
	}
	w, err := s.commit(ctx, func(state State) (Change, rowWrite, error) {
		if state.TextVersion != 0 && state.Text == text {
			return Change{}, rowWrite{}, errUnchanged
		}
		if state.TextVersion > base || state.Version < base {
			return Change{}, rowWrite{}, refuse(result.ConfigConflict,
				"the text was changed in version %d, after version %d", state.TextVersion, base)
		}
		splice := NewSplice(state.Text, text)
		row := rowWrite{key: textKey, value: func(v uint64) any { return textRow{Version: v, Text: text} }}
		return Change{Kind: ChangeText, Splice: &splice}, row, nil
	})
	return s.waitAndRecord(ctx, w, err, timeline.Event{Kind: timeline.ConfigAccepted})
}

// GrantKey implements config.Editor. Withdrawal is permanent: granting a
// withdrawn key again is rejected.
func (s *Store) GrantKey(ctx context.Context, d config.KeyDigest, organisation string) (uint64, error) {
	began := s.options.Now()
	w, err := s.commit(ctx, func(state State) (Change, rowWrite, error) {
		if s.isWithdrawn(state, d) {
			return Change{}, rowWrite{}, refuse(result.KeyWithdrawn, "the key was withdrawn; grant a new one")
		}
		if !s.hasOrganisation(organisation) {
			return Change{}, rowWrite{}, refuse(result.UnknownName, "organisation %q does not exist", organisation)
		}
		if k, ok := state.keys[d]; ok && k.Organisation == organisation {
			return Change{}, rowWrite{}, errUnchanged
		}
		row := rowWrite{key: keyRowKey(d), value: func(v uint64) any {
			return keyRow{Version: v, Organisation: organisation}
		}}
		return Change{Kind: ChangeKeyGrant, Key: d, Organisation: organisation}, row, nil
	})
	return s.recordAndWait(ctx, w, err, timeline.Event{
		Kind: timeline.KeyGranted, KeyDigest: string(d), Organisation: organisation, Time: began,
	})
}

// SetZoneDrained implements config.Editor.
func (s *Store) SetZoneDrained(ctx context.Context, zone string, out bool) (uint64, error) {
	began := s.options.Now()
	w, err := s.commit(ctx, func(state State) (Change, rowWrite, error) {
		if !s.hasZone(zone) && !state.zones[zone].Drained {
			return Change{}, rowWrite{}, refuse(result.UnknownName, "availability zone %q does not exist", zone)
		}
		if state.zones[zone].Drained == out {
			return Change{}, rowWrite{}, errUnchanged
		}
		row := rowWrite{key: zoneRowKey(zone), value: func(v uint64) any { return zoneRow{Version: v, Drained: out} }}
		return Change{Kind: ChangeZone, Zone: zone, Drained: out}, row, nil
	})
	if out {
		return s.waitAndRecord(ctx, w, err, timeline.Event{Kind: timeline.ZoneDrained, Zone: zone})
	}
	return s.recordAndWait(ctx, w, err, timeline.Event{Kind: timeline.ZoneRestored, Zone: zone, Time: began})
}

// recordAndWait is like waitAndRecord for a change that permits more than
// before. Each instance applies such a change as soon as it receives it, so
// the event carries the time before the commit.
func (s *Store) recordAndWait(ctx context.Context, w commitResult, err error, e timeline.Event) (uint64, error) {
	if err != nil {
		return 0, err
	}
	if w.changed {
		e.Version = w.version
		s.options.Recorder.Record(e)
	}
	return s.waitConfirmed(ctx, w.version)
}

// waitAndRecord waits until a quorum of instances holds a committed change and
// then records the event.
func (s *Store) waitAndRecord(ctx context.Context, w commitResult, err error, e timeline.Event) (uint64, error) {
	if err != nil {
		return 0, err
	}
	version, err := s.waitConfirmed(ctx, w.version)
	if err != nil || !w.changed {
		return version, err
	}
	e.Version = version
	e.Time = s.options.Now()
	s.options.Recorder.Record(e)
	return version, nil
}

// waitConfirmed waits until a quorum of instances holds the version, at most
// for acceptTimeout.
func (s *Store) waitConfirmed(ctx context.Context, version uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if s.rounds != nil && !s.rounds.waitAccepted(ctx, version) {
		return version, refuse(result.ConfigNotConfirmed,
			"version %d is stored, but fewer than half of the instances confirmed it", version)
	}
	return version, nil
}

func (s *Store) isWithdrawn(state State, d config.KeyDigest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, pending := s.pendingWithdrawals[d]
	return pending || state.keys[d].Withdrawn
}

func (s *Store) hasOrganisation(name string) bool {
	snapshot := s.Current()
	return snapshot != nil && snapshot.Organisation(name) != nil
}

func (s *Store) hasZone(name string) bool {
	snapshot := s.Current()
	if snapshot == nil {
		return false
	}
	return slices.ContainsFunc(snapshot.Config.Zones, func(z config.Zone) bool { return z.Name == name })
}

// InForce implements config.Editor. It returns the result of the newest round.
// Instances that did not answer have version 0.
func (s *Store) InForce(context.Context) ([]config.InstanceVersion, error) {
	self := config.InstanceVersion{Instance: s.options.Instance, Zone: s.options.Zone, Version: s.inForce()}
	if s.rounds == nil {
		return []config.InstanceVersion{self}, nil
	}
	confirmed, _ := s.rounds.latest()
	view := s.options.Members.View()
	versions := []config.InstanceVersion{self}
	for i, name := range confirmed.Roster.Names {
		if name == self.Instance {
			continue
		}
		v := config.InstanceVersion{Instance: name}
		if at, ok := view.Index(name); ok {
			v.Zone = view.At(at).Zone
		}
		if confirmed.Holders.Has(i) {
			v.Version = confirmed.Version
		}
		versions = append(versions, v)
	}
	return versions, nil
}

// isResult reports whether err is a numbered result with the code.
func isResult(err error, code result.Code) bool {
	var e *result.Error
	return errors.As(err, &e) && e.Code == code
}
