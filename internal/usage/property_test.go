package usage

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
	"pgregory.net/rapid"
)

// flakyTable injects faults into the calls of a table. A delayed transaction takes effect
// before one of the next calls.
type flakyTable struct {
	platform.Table
	t       *rapid.T
	delayed []platform.Txn
	healthy bool // no more faults are injected
}

// Get implements platform.Table.
func (f *flakyTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	f.deliverDelayed()
	if !f.healthy && rapid.IntRange(0, 7).Draw(f.t, "get") == 0 {
		return nil, platform.ErrUnavailable
	}
	return f.Table.Get(ctx, keys...)
}

// Commit implements platform.Table.
func (f *flakyTable) Commit(ctx context.Context, txn platform.Txn) ([]uint64, error) {
	f.deliverDelayed()
	if f.healthy {
		return f.Table.Commit(ctx, txn)
	}
	switch rapid.SampledFrom([]string{"done", "done", "done", "lost", "reply lost", "late"}).Draw(f.t, "commit") {
	case "lost":
		return nil, platform.ErrUnavailable
	case "reply lost":
		_, _ = f.Table.Commit(ctx, txn)
		return nil, platform.ErrUnavailable
	case "late":
		f.delayed = append(f.delayed, txn)
		return nil, platform.ErrUnavailable
	}
	return f.Table.Commit(ctx, txn)
}

// deliverDelayed applies some of the delayed transactions.
func (f *flakyTable) deliverDelayed() {
	var waiting []platform.Txn
	for _, txn := range f.delayed {
		if !f.healthy && rapid.Bool().Draw(f.t, "arrives") {
			waiting = append(waiting, txn)
			continue
		}
		_, _ = f.Table.Commit(context.Background(), txn)
	}
	f.delayed = waiting
}

// billing simulates two instances, each with a peer that holds a replica of its batches,
// and two closers that run at the same time.
type billing struct {
	t           *rapid.T
	p           *standin.Platform
	table       *flakyTable
	now         time.Time
	origins     []*journal
	replicas    []*journal
	closers     []*Closer
	sequence    uint64
	metered     map[string]int64
	chartErrors bytes.Buffer // events that the chart rejects
}

func newBilling(t *rapid.T) *billing {
	b := &billing{
		t: t, p: standin.New(standin.Options{IgnoreTokens: true}), metered: make(map[string]int64),
		now: time.Date(2031, 5, 4, 10, 0, 0, 0, time.UTC),
	}
	b.table = &flakyTable{Table: b.p.Caller("test").Table(), t: t}
	for i := range 2 {
		origin := Origin{Instance: fmt.Sprintf("i%d", i), Incarnation: "0"}
		b.origins = append(b.origins, &journal{table: b.table, origin: origin})
		b.replicas = append(b.replicas, &journal{table: b.table, origin: origin})
		o := Options{Instance: origin.Instance, Table: b.table, Now: func() time.Time { return b.now }}
		o.Logger = hclog.New(&hclog.LoggerOptions{Output: &b.chartErrors, Level: hclog.Error})
		b.closers = append(b.closers, NewCloser(o, b.p.Caller(origin.Instance).Usage()))
	}
	return b
}

// meter adds a batch, which may not reach the peer.
func (b *billing) meter(i int) {
	b.sequence++
	org := rapid.SampledFrom([]string{"club", "depot"}).Draw(b.t, "org")
	tokens := int64(rapid.IntRange(1, 100).Draw(b.t, "tokens"))
	b.metered[org] += tokens
	batch := Batch{
		Origin: b.origins[i].origin, Sequence: b.sequence, Window: WindowAt(b.now),
		Lines: []Line{{Key{Organisation: org}, Amount{Requests: 1, Output: tokens}}},
	}
	b.origins[i].add(batch)
	for _, unflushed := range b.origins[i].batches { // a replica holds a prefix of the batches
		if rapid.Bool().Draw(b.t, "copied") {
			b.replicas[i].add(unflushed)
		} else {
			break
		}
	}
}

func (b *billing) step() {
	i := rapid.IntRange(0, 1).Draw(b.t, "instance")
	switch rapid.IntRange(0, 6).Draw(b.t, "step") {
	case 0, 1:
		b.meter(i)
	case 2:
		_ = b.origins[i].flush(b.t.Context(), WindowAt(b.now))
	case 3:
		_ = b.replicas[i].flush(b.t.Context(), WindowAt(b.now))
	case 4, 5:
		_ = b.closers[i].step(b.t.Context(), 1)
	case 6:
		b.now = b.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(b.t, "seconds")) * time.Second)
	}
}

// settle ends the faults, and flushes, closes and reports everything.
func (b *billing) settle() {
	b.table.healthy = true
	for i := range b.origins {
		b.origins[i].loaded = false
		if err := b.origins[i].flush(b.t.Context(), WindowAt(b.now)); err != nil {
			b.t.Fatal(err)
		}
	}
	b.now = b.now.Add(2*WindowLength + closeGrace)
	if err := b.closers[0].step(b.t.Context(), 2); err != nil {
		b.t.Fatal(err)
	}
}

func TestUsageReportedExactlyOnce(t *testing.T) {
	windows := 0
	rapid.Check(t, func(t *rapid.T) {
		b := newBilling(t)
		defer b.p.Close()
		for range 60 {
			b.step()
		}
		b.settle()
		reported := make(map[string]int64)
		for _, r := range b.p.Reports() {
			windows++
			for _, line := range r.Lines {
				reported[line.Organisation] += line.OutputTokens
			}
		}
		for org, tokens := range b.metered {
			if reported[org] != tokens {
				t.Errorf("%q used %d tokens and %d were reported", org, tokens, reported[org])
			}
		}
		for _, violation := range b.p.Violations() {
			t.Error(violation)
		}
		if b.chartErrors.Len() > 0 {
			t.Error(b.chartErrors.String())
		}
		rows, err := b.table.List(t.Context(), batchPrefix, "", 10)
		if err != nil && !errors.Is(err, platform.ErrUnavailable) || len(rows) > 0 {
			t.Errorf("%d batch rows are left, error %v", len(rows), err)
		}
	})
	if windows == 0 {
		t.Fatal("no window was ever reported")
	}
	t.Logf("%d windows reported", windows)
}
