package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/quarantine"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// provisionQuarantine builds the tracker of requests that crash backend servers
// and ties it to the other instances' trackers.
func (i *Instance) provisionQuarantine() {
	logger := i.logger.Named("quarantine")
	i.quarantine = quarantine.New(quarantine.Options{
		Instance: i.settings.Instance,
		Recorder: i.ring,
		Notify: func(n quarantine.Notice) {
			body, err := n.Encode()
			if err != nil {
				logger.Error("notice not encoded", "error", err)
				return
			}
			if err := i.relay.Publish(peer.KindQuarantine, body); err != nil {
				logger.Warn("notice not sent", "error", err)
			}
		},
	})
	i.relay.Handle(peer.KindQuarantine, func(body []byte) {
		n, err := quarantine.Decode(body)
		if err != nil {
			logger.Debug("notice not understood", "error", err)
			return
		}
		i.quarantine.Learn(n, time.Now())
	})
	i.peers.HandleRequest(peer.KindQuarantine, func(string, peer.Message) (peer.Message, error) {
		body, err := cbor.Marshal(i.quarantine.Notices(time.Now()))
		return peer.Message{Kind: peer.KindQuarantine, Body: body}, err
	})
}

const (
	// quarantineSyncInterval is the time between two exchanges with another
	// instance, which repair lost notices.
	quarantineSyncInterval = 10 * time.Second
	// quarantineCheckInterval is the time between checks for new members.
	quarantineCheckInterval = 250 * time.Millisecond
	quarantineSyncTimeout   = 2 * time.Second
)

// syncQuarantine asks a random instance for its notices, at once when the
// membership has grown and at the interval otherwise.
func (i *Instance) syncQuarantine(ctx context.Context) {
	var synced time.Time
	members := 1
	wait.Every(ctx, quarantineCheckInterval, func(ctx context.Context) {
		now := i.members.View().Len()
		grown := now > members
		members = now
		if now < 2 || (!grown && time.Since(synced) < quarantineSyncInterval) {
			return
		}
		synced = time.Now()
		i.fetchNotices(ctx)
	})
}

func (i *Instance) fetchNotices(ctx context.Context) {
	view := i.members.View()
	name := view.At(rand.IntN(view.Len())).Name
	if name == i.settings.Instance {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineSyncTimeout)
	defer cancel()
	answer, err := i.peers.Request(ctx, name, peer.Message{Kind: peer.KindQuarantine})
	if err != nil {
		i.logger.Debug("notices not fetched", "from", name, "error", err)
		return
	}
	var notices []quarantine.Notice
	if err := cbor.Unmarshal(answer.Body, &notices); err != nil {
		i.logger.Debug("notices not understood", "from", name, "error", err)
		return
	}
	for _, n := range notices {
		i.quarantine.Learn(n, time.Now())
	}
}
