package confsync

import (
	"context"
	"errors"
	"slices"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Apply implements config.Editor. Changes of keys and availability zones since
// base do not conflict; a change of the text does.
func (s *Store) Apply(ctx context.Context, text string, base uint64) (uint64, error) {
	if _, err := s.options.Compile(text); err != nil {
		return 0, err
	}
	version, err := s.commit(ctx, func(state State) (Change, rowWrite, error) {
		if state.TextVersion != 0 && state.Text == text {
			return Change{}, rowWrite{}, errUnchanged
		}
		if state.TextVersion > base || state.Version < base {
			return Change{}, rowWrite{}, refused(result.ConfigConflict,
				"the text was changed in version %d, after version %d", state.TextVersion, base)
		}
		splice := NewSplice(state.Text, text)
		row := rowWrite{key: textKey, value: func(v uint64) any { return textRow{Version: v, Text: text} }}
		return Change{Kind: ChangeText, Splice: &splice}, row, nil
	})
	return s.accept(ctx, version, err, timeline.Event{Kind: timeline.ConfigAccepted})
}

// GrantKey implements config.Editor. A withdrawn key stays withdrawn: granting
// it again is refused.
func (s *Store) GrantKey(ctx context.Context, d config.KeyDigest, organisation string) (uint64, error) {
	version, err := s.commit(ctx, func(state State) (Change, rowWrite, error) {
		if s.withdrawn(state, d) {
			return Change{}, rowWrite{}, refused(result.KeyWithdrawn, "the key was withdrawn; grant a new one")
		}
		if !s.knowsOrganisation(organisation) {
			return Change{}, rowWrite{}, refused(result.UnknownName, "organisation %q does not exist", organisation)
		}
		if k, ok := state.keys[d]; ok && k.Organisation == organisation {
			return Change{}, rowWrite{}, errUnchanged
		}
		row := rowWrite{key: keyRowKey(d), value: func(v uint64) any {
			return keyRow{Version: v, Organisation: organisation}
		}}
		return Change{Kind: ChangeKeyGrant, Key: d, Organisation: organisation}, row, nil
	})
	return s.accept(ctx, version, err, timeline.Event{
		Kind: timeline.KeyGranted, KeyDigest: string(d), Organisation: organisation,
	})
}

// SetZone implements config.Editor.
func (s *Store) SetZone(ctx context.Context, zone string, out bool) (uint64, error) {
	version, err := s.commit(ctx, func(state State) (Change, rowWrite, error) {
		if !s.knowsZone(zone) && !state.zones[zone].Out {
			return Change{}, rowWrite{}, refused(result.UnknownName, "availability zone %q does not exist", zone)
		}
		if state.zones[zone].Out == out {
			return Change{}, rowWrite{}, errUnchanged
		}
		row := rowWrite{key: zoneRowKey(zone), value: func(v uint64) any { return zoneRow{Version: v, Out: out} }}
		return Change{Kind: ChangeZone, Zone: zone, Out: out}, row, nil
	})
	kind := timeline.ZoneIn
	if out {
		kind = timeline.ZoneOut
	}
	return s.accept(ctx, version, err, timeline.Event{Kind: kind, Zone: zone})
}

// accept records a confirmed change.
func (s *Store) accept(_ context.Context, version uint64, err error, e timeline.Event) (uint64, error) {
	if err != nil {
		return 0, err
	}
	e.Version = version
	e.Time = s.options.Now()
	s.options.Recorder.Record(e)
	return version, nil
}

func (s *Store) withdrawn(state State, d config.KeyDigest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, pending := s.pending[d]
	return pending || state.keys[d].Withdrawn
}

func (s *Store) knowsOrganisation(name string) bool {
	snapshot := s.Current()
	return snapshot != nil && snapshot.Organisation(name) != nil
}

func (s *Store) knowsZone(name string) bool {
	snapshot := s.Current()
	if snapshot == nil {
		return false
	}
	return slices.ContainsFunc(snapshot.Config.Zones, func(z config.Zone) bool { return z.Name == name })
}

// InForce implements config.Editor.
func (s *Store) InForce(context.Context) ([]config.InstanceVersion, error) {
	snapshot := s.Current()
	if snapshot == nil {
		return nil, nil
	}
	self := config.InstanceVersion{Instance: s.options.Instance, Zone: s.options.Zone, Version: snapshot.Version}
	return []config.InstanceVersion{self}, nil
}

// isResult reports whether err is a result with the code.
func isResult(err error, code result.Code) bool {
	var e *result.Error
	return errors.As(err, &e) && e.Code == code
}
