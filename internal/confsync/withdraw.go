package confsync

import (
	"context"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// withdrawTimeout bounds the wait for the table service. The withdrawal is
// already in force on this instance by then.
const withdrawTimeout = 2 * time.Second

// WithdrawKey implements config.Editor.
func (s *Store) WithdrawKey(ctx context.Context, d config.KeyDigest) (uint64, error) {
	known := s.hasKey(d)
	if known {
		s.withdrawNow(d)
	}
	commitCtx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	w, err := s.commitWithdrawal(commitCtx, d, known)
	if isResult(err, result.StoreUnavailable) {
		s.withdrawNow(d) // also a key that this instance does not have but the table service may
		return 0, nil
	}
	return s.waitAndRecord(ctx, w, err, timeline.Event{
		Kind: timeline.KeyWithdrawn, KeyDigest: string(d), Organisation: s.organisationOf(d),
	})
}

func (s *Store) organisationOf(d config.KeyDigest) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.keys[d].Organisation
}

func (s *Store) hasKey(d config.KeyDigest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.state.keys[d]
	return ok
}

// commitWithdrawal commits a withdrawal. Unless force is set, the key must
// exist.
func (s *Store) commitWithdrawal(ctx context.Context, d config.KeyDigest, force bool) (commitResult, error) {
	return s.commit(ctx, func(state State) (Change, rowWrite, error) {
		k, ok := state.keys[d]
		if !ok && !force {
			return Change{}, rowWrite{}, refuse(result.UnknownName, "the key was never granted")
		}
		if k.Withdrawn {
			return Change{}, rowWrite{}, errUnchanged
		}
		row := rowWrite{key: keyRowKey(d), value: func(v uint64) any {
			return keyRow{Version: v, Organisation: k.Organisation, Withdrawn: true}
		}}
		return Change{Kind: ChangeKeyWithdraw, Key: d}, row, nil
	})
}

// withdrawNow applies a withdrawal on this instance and sends it to the peers.
func (s *Store) withdrawNow(d config.KeyDigest) {
	if !s.applyWithdrawals([]config.KeyDigest{d}, "") {
		return
	}
	s.options.Recorder.Record(timeline.Event{
		Time: s.options.Now(), Kind: timeline.KeyWithdrawn,
		KeyDigest: string(d), Organisation: s.organisationOf(d),
	})
}

// mergeWithdrawals adds withdrawals and reports whether any was new.
func (s *Store) mergeWithdrawals(digests []config.KeyDigest) bool {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	merged, grew := s.pendingWithdrawals.Merge(digests)
	if !grew {
		return false
	}
	merged = merged.Settle(s.state)
	if len(merged) == len(s.pendingWithdrawals) {
		return false // all of them are already in the table service
	}
	s.pendingWithdrawals = merged
	s.publish()
	return true
}

// Pending returns the withdrawals that are in force but not confirmed in the
// table service.
func (s *Store) Pending() []config.KeyDigest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingWithdrawals.Digests()
}

// flushWithdrawals commits the pending withdrawals. Every instance that holds
// them tries; for all but the first, commit finds nothing to change.
func (s *Store) flushWithdrawals(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.options.ReadTimeout)
	defer cancel()
	for _, d := range s.Pending() {
		if _, err := s.commitWithdrawal(ctx, d, true); err != nil {
			s.options.Logger.Warn("writing a pending withdrawal failed; the next poll retries", "error", err)
			return
		}
	}
}
