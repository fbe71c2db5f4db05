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

// replicateTimeout bounds one attempt to replicate usage to a peer.
const replicateTimeout = time.Second

var errNoPeer = errors.New("no other instance is live")

// provisionUsage builds the meter, the store for replicas of peers' usage, and the
// duty that closes usage windows.
func (i *Instance) provisionUsage() {
	options := usage.Options{
		Instance:   i.settings.Instance,
		Table:      i.platform.Table(),
		Replicator: &replicator{instance: i},
		Recorder:   i.ring,
		Logger:     i.logger.Named("usage"),
	}
	i.meter = usage.NewMeter(options)
	i.replicaStore = usage.NewReplicaStore(options)
	i.peers.HandleRequest(peer.KindUsage, i.storePeerUsage)
	i.leases.Do(usage.Duty, usage.NewCloser(options, i.platform.Usage()).Work)
}

// storePeerUsage stores batches replicated by a peer. An empty answer acknowledges them.
func (i *Instance) storePeerUsage(from string, m peer.Message) (peer.Message, error) {
	var batches []usage.Batch
	if err := cbor.Unmarshal(m.Body, &batches); err != nil {
		return peer.Message{}, fmt.Errorf("decode usage from %s: %w", from, err)
	}
	i.replicaStore.Add(batches)
	return peer.Message{Kind: peer.KindUsage}, nil
}

// replicator replicates usage to another instance, preferably in another
// availability zone.
type replicator struct{ instance *Instance }

// Replicate implements usage.Replicator. It tries up to replicateCandidates
// instances in turn and returns the name of the one that stored the batches.
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

// candidates returns the preferred instances for replicas. Instances in other
// availability zones come first. Within each group the order follows a rendezvous
// hash, which spreads the load and is stable while the membership is.
func (r *replicator) candidates() []member.Member {
	self := r.instance.settings
	live := slices.DeleteFunc(r.instance.members.Live(), func(m member.Member) bool {
		return m.Name == self.Instance || m.State != member.Alive
	})
	slices.SortFunc(live, func(a, b member.Member) int {
		return cmp.Or(
			cmp.Compare(sameZone(a, self.Zone), sameZone(b, self.Zone)),
			cmp.Compare(rendezvousHash(self.Instance, a.Name), rendezvousHash(self.Instance, b.Name)),
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

func rendezvousHash(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
