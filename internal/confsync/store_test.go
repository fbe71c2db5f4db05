package confsync

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// fakeCompile compiles a text of words: "org:NAME" and "zone:NAME" define
// names, "bad" is a fault.
func fakeCompile(text string) (config.Config, error) {
	var c config.Config
	for _, word := range strings.Fields(text) {
		switch kind, name, _ := strings.Cut(word, ":"); kind {
		case "org":
			c.Organisations = append(c.Organisations, config.Organisation{Name: name})
		case "zone":
			c.Zones = append(c.Zones, config.Zone{Name: name})
		case "bad":
			return c, &config.FaultsError{Faults: []config.Fault{{Line: 1, Message: "bad"}}}
		}
	}
	return c, nil
}

const sampleText = "org:club org:depot zone:a zone:b"

func newTestStore(table platform.Table, name string) *Store {
	began := time.Now()
	return New(Options{
		Instance: name, Zone: "a", Table: table, Compile: fakeCompile,
		Now: func() time.Time { return began }, // decoding takes no time
	})
}

func TestPollingAppliesCommits(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	table := newFakeTable()
	a, b := newTestStore(table, "a"), newTestStore(table, "b")
	is.True(a.Current() == nil)
	is.True(!a.Fresh())

	v, err := a.Apply(ctx, sampleText, 0)
	is.NoErr(err)
	is.Equal(v, uint64(1))
	key := config.DigestKey("k")
	_, err = b.GrantKey(ctx, key, "club")
	is.NoErr(err)
	_, err = a.SetZoneDrained(ctx, "b", true)
	is.NoErr(err)
	_, err = a.Apply(ctx, sampleText+" org:third", 1) // keys and zones do not conflict with a text
	is.NoErr(err)

	is.NoErr(b.refresh(ctx))
	s := b.Current()
	is.Equal(s.Version, uint64(4))
	is.True(s.ZoneDrained("b"))
	is.True(s.Organisation("third") != nil)
	k, ok := s.Key(key)
	is.True(ok)
	is.Equal(k, config.KeyState{Organisation: "club"})
	is.True(b.Fresh())
}

func TestApplyRejectsFaultsAndConflicts(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	table := newFakeTable()
	a, b := newTestStore(table, "a"), newTestStore(table, "b")
	_, err := a.Apply(ctx, "bad", 0)
	var faults *config.FaultsError
	is.True(errors.As(err, &faults))
	_, err = a.Apply(ctx, "org:one", 0)
	is.NoErr(err)
	_, err = b.Apply(ctx, "org:two", 0)
	is.True(isResult(err, result.ConfigConflict))
	v, err := b.Apply(ctx, "org:one", 0) // a retry of the same command
	is.NoErr(err)
	is.Equal(v, uint64(1))
	_, err = a.GrantKey(ctx, "d", "nobody")
	is.True(isResult(err, result.UnknownName))
	_, err = a.SetZoneDrained(ctx, "nowhere", true)
	is.True(isResult(err, result.UnknownName))
}

func TestLostReplyCommitsOnce(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	table := newFakeTable()
	a := newTestStore(table, "a")
	table.loseReply = 1
	v, err := a.Apply(ctx, sampleText, 0)
	is.NoErr(err)
	is.Equal(v, uint64(1))
	table.loseReply = 1
	v, err = a.GrantKey(ctx, "d", "club")
	is.NoErr(err)
	is.Equal(v, uint64(2))
	is.NoErr(a.refresh(ctx))
	is.Equal(a.State().Version, uint64(2))
}

// TestLostReplyFollowedByAnotherCommit loses the reply to a commit that took
// effect, and lets another instance commit the next version before the first
// one reads the log.
func TestLostReplyFollowedByAnotherCommit(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	table := newFakeTable()
	a, b := newTestStore(table, "a"), newTestStore(table, "b")
	table.loseReply = 1
	table.afterLost = func() {
		_, err := b.Apply(ctx, sampleText+" org:third", 1)
		is.NoErr(err)
	}
	v, err := a.Apply(ctx, sampleText, 0) // the commit took effect, then b changed the text
	is.NoErr(err)
	is.Equal(v, uint64(1))
}

func TestConcurrentCommits(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	table := newFakeTable()
	a, b := newTestStore(table, "a"), newTestStore(table, "b")
	_, err := a.Apply(ctx, sampleText, 0)
	is.NoErr(err)
	table.beforeCommit = func() {
		v, err := b.GrantKey(ctx, "b", "depot")
		is.NoErr(err)
		is.Equal(v, uint64(2))
	}
	v, err := a.GrantKey(ctx, "a", "club")
	is.NoErr(err)
	is.Equal(v, uint64(3))
	for _, s := range []*Store{a, b, newTestStore(table, "reader")} {
		is.NoErr(s.refresh(ctx))
		_, ofA := s.Current().Key("a")
		_, ofB := s.Current().Key("b")
		is.True(ofA && ofB)
	}
}

func TestOlderStateIsIgnored(t *testing.T) {
	is := is.New(t)
	a := newTestStore(newFakeTable(), "a")
	_, err := a.Apply(t.Context(), sampleText, 0)
	is.NoErr(err)
	_, err = a.SetZoneDrained(t.Context(), "b", true)
	is.NoErr(err)
	is.True(!a.advance(State{Version: 1, Text: sampleText, TextVersion: 1}))
	is.Equal(a.Current().Version, uint64(2))
	is.True(a.Current().ZoneDrained("b"))
}

// TestRestoredTableDoesNotLowerVersion restores the table from an older copy.
func TestRestoredTableDoesNotLowerVersion(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	table := newFakeTable()
	a := newTestStore(table, "a")
	_, err := a.Apply(ctx, sampleText, 0)
	is.NoErr(err)
	old := newFakeTable()
	for k, r := range table.rows {
		old.rows[k] = r
	}
	_, err = a.Apply(ctx, sampleText+" org:third", 1)
	is.NoErr(err)
	a.options.Table = old
	is.NoErr(a.refresh(ctx))
	is.Equal(a.Current().Version, uint64(2))
	is.True(a.Current().Organisation("third") != nil)
}

func TestFullLoadAfterCompaction(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	table := newFakeTable()
	a, b := newTestStore(table, "a"), newTestStore(table, "b")
	_, err := a.Apply(ctx, sampleText, 0)
	is.NoErr(err)
	for i := range 40 {
		_, err = a.GrantKey(ctx, config.KeyDigest(fmt.Sprint(i)), "club")
		is.NoErr(err)
	}
	a.compact(ctx, 30)
	is.NoErr(b.refresh(ctx))
	is.Equal(b.Current().Version, uint64(41))
	is.Equal(len(b.State().keys), 40)
}

func TestUncompilableTextTurnsInstanceStale(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	table := newFakeTable()
	a, b := newTestStore(table, "a"), newTestStore(table, "b")
	_, err := a.Apply(ctx, sampleText, 0)
	is.NoErr(err)
	is.NoErr(b.refresh(ctx))
	b.options.Compile = func(string) (config.Config, error) { return config.Config{}, errors.New("newer release") }
	_, err = a.Apply(ctx, sampleText+" new:field", 1)
	is.NoErr(err)
	_, err = a.WithdrawKey(ctx, "d")
	is.True(isResult(err, result.UnknownName))
	is.NoErr(b.refresh(ctx))
	is.Equal(b.Current().Version, uint64(1))
	b.options.Now = func() time.Time { return time.Now().Add(DefaultFreshLimit) }
	is.NoErr(b.refresh(ctx)) // the table service answers, but its version is not in force
	is.True(!b.Fresh())
}

func TestPendingWithdrawalIsWrittenAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		table := newFakeTable()
		a := newTestStore(table, "a")
		_, err := a.Apply(ctx, sampleText, 0)
		is.NoErr(err)
		_, err = a.GrantKey(ctx, "d", "club")
		is.NoErr(err)
		go func() { _ = a.Run(ctx) }()

		table.setDown(true)
		v, err := a.WithdrawKey(ctx, "d")
		is.NoErr(err)
		is.Equal(v, uint64(0))
		k, _ := a.Current().Key("d")
		is.True(k.Withdrawn)
		time.Sleep(time.Hour)
		table.setDown(false)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		b := newTestStore(table, "b")
		is.NoErr(b.refresh(ctx))
		k, _ = b.Current().Key("d")
		is.True(k.Withdrawn)
		is.Equal(len(a.Pending()), 0)
		_, err = b.GrantKey(ctx, "d", "club")
		is.True(isResult(err, result.KeyWithdrawn))
		cancel()
		synctest.Wait()
	})
}

func TestTextChangesAreDecodedInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		const cost = 60 * time.Millisecond
		var decoded, spent atomic.Int64
		s := New(Options{
			Instance: "a", Table: newFakeTable(),
			Now: func() time.Time { return time.Now().Add(time.Duration(spent.Load())) },
			Compile: func(text string) (config.Config, error) {
				spent.Add(int64(cost))
				decoded.Add(1)
				return fakeCompile(text)
			},
		})
		text := ""
		const changes = 50
		for i := range uint64(changes) {
			longer := text + " word"
			splice := NewSplice(text, longer)
			is.NoErr(s.push([]Change{{Version: i + 1, Kind: ChangeText, Splice: &splice}}, ""))
			text = longer
			if i == changes/2 {
				s.withdrawNow("key")
				k, _ := s.Current().Key("key")
				is.True(k.Withdrawn) // withdrawals do not wait for decoding
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(maxCompileGap + cost)
		is.Equal(s.Current().Version, uint64(changes))
		is.Equal(s.Current().Text, text)
		is.True(decoded.Load() <= 5)
	})
}

func TestChangedSignalsVersionsAndWithdrawals(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	a := newTestStore(newFakeTable(), "a")
	first := a.Changed(0)
	_, err := a.Apply(ctx, sampleText, 0)
	is.NoErr(err)
	<-first
	<-a.Changed(0)
	second := a.Changed(1)
	a.withdrawNow("unknown")
	<-second
	k, _ := a.Current().Key("unknown")
	is.True(k.Withdrawn)
}
