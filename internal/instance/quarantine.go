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
// and exchanges its notices with the other instances.
func (i *Instance) provisionQuarantine() {
	logger := i.logger.Named("quarantine")
	i.quarantine = quarantine.New(quarantine.Options{
		Instance: i.settings.Instance,
		Recorder: i.ring,
		Claims: quarantine.NewTableClaims(quarantine.TableClaimsOptions{
			Instance: i.settings.Instance, Table: i.platform.Table(), Now: time.Now, Logger: logger,
		}),
		Notify: func(n quarantine.Notice) {
			body, err := n.Encode()
			if err != nil {
				logger.Error("notice not encoded", "error", err)
				return
			}
			if err := i.relay.Publish(peer.KindQuarantine, body); err != nil {
				logger.Warn("notice not published", "error", err)
			}
		},
	})
	i.relay.Handle(peer.KindQuarantine, func(body []byte) {
		n, err := quarantine.Decode(body)
		if err != nil {
			logger.Debug("notice not decoded", "error", err)
			return
		}
		i.quarantine.Apply(n, time.Now())
	})
	i.peers.HandleRequest(peer.KindQuarantine, func(string, peer.Message) (peer.Message, error) {
		body, err := cbor.Marshal(i.quarantine.Notices(time.Now()))
		return peer.Message{Kind: peer.KindQuarantine, Body: body}, err
	})
}

const (
	// quarantineSyncInterval is the time between synchronisations with another
	// instance, which recover lost notices.
	quarantineSyncInterval = 10 * time.Second
	// quarantineCheckInterval is the time between checks for new members.
	quarantineCheckInterval = 250 * time.Millisecond
	quarantineSyncTimeout   = 2 * time.Second
)

// syncQuarantine fetches the notices of a random instance at each
// quarantineSyncInterval, and at the next check when the membership has grown.
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
		i.logger.Debug("notices not decoded", "from", name, "error", err)
		return
	}
	for _, n := range notices {
		i.quarantine.Apply(n, time.Now())
	}
}
