package instance

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornwick/hawthornwick/internal/member"
	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/usage"
)

// replicateTimeout bounds one attempt to copy usage to a peer.
const replicateTimeout = time.Second

var errNoPeer = errors.New("no other instance is live")

// provisionUsage builds the metering, the custody of peers' usage and the duty
// that closes windows.
func (i *Instance) provisionUsage() {
	options := usage.Options{
		Instance:   i.settings.Instance,
		Table:      i.platform.Table(),
		Replicator: &replicator{instance: i},
		Recorder:   i.ring,
		Logger:     i.logger.Named("usage"),
	}
	i.meter = usage.NewMeter(options)
	i.custody = usage.NewCustody(options)
	i.peers.HandleRequest(peer.KindUsage, i.holdUsage)
	i.leases.Do(usage.Duty, usage.NewCloser(options, i.platform.Usage()).Work)
}

// holdUsage takes batches that a peer copies here. The empty answer confirms them.
func (i *Instance) holdUsage(from string, m peer.Message) (peer.Message, error) {
	var batches []usage.Batch
	if err := cbor.Unmarshal(m.Body, &batches); err != nil {
		return peer.Message{}, fmt.Errorf("decode usage from %s: %w", from, err)
	}
	i.custody.Hold(batches)
	return peer.Message{Kind: peer.KindUsage}, nil
}

// replicator copies usage to another instance, best in another availability zone.
type replicator struct{ instance *Instance }

// Replicate implements usage.Replicator. It tries two candidates.
func (r *replicator) Replicate(ctx context.Context, batches []usage.Batch) (string, error) {
	body, err := cbor.Marshal(batches)
	if err != nil {
		return "", fmt.Errorf("encode usage: %w", err)
	}
	err = errNoPeer
	for _, m := range r.candidates() {
		if err = r.copy(ctx, m.Name, body); err == nil {
			return m.Name, nil
		}
	}
	return "", err
}

func (r *replicator) copy(ctx context.Context, name string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, replicateTimeout)
	defer cancel()
	_, err := r.instance.peers.Request(ctx, name, peer.Message{Kind: peer.KindUsage, Body: body})
	return err
}

const replicateCandidates = 2

// candidates orders the other live instances: those of other availability zones
// first, and within them by a hash that spreads the load and stays the same
// while the membership does.
func (r *replicator) candidates() []member.Member {
	self := r.instance.settings
	live := slices.DeleteFunc(r.instance.members.Live(), func(m member.Member) bool {
		return m.Name == self.Instance || m.State != member.Alive
	})
	slices.SortFunc(live, func(a, b member.Member) int {
		return cmp.Or(
			cmp.Compare(sameZone(a, self.Zone), sameZone(b, self.Zone)),
			cmp.Compare(pairHash(self.Instance, a.Name), pairHash(self.Instance, b.Name)),
		)
	})
	return live[:min(len(live), replicateCandidates)]
}

func sameZone(m member.Member, zone string) int {
	if m.Zone == zone {
		return 1
	}
	return 0
}

func pairHash(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
