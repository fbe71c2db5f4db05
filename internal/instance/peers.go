package instance

import (
	"encoding/hex"
	"fmt"

	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/relay"
	"github.com/hawthornwick/hawthornwick/internal/settings"
	"github.com/hawthornwick/hawthornwick/internal/spread"
)

// provisionPeers opens the listener for other instances and builds the relay.
func (i *Instance) provisionPeers(o Options) error {
	identity, err := peerIdentity(o)
	if err != nil {
		return err
	}
	i.peers, err = peer.New(peer.Options{
		Instance: i.settings.Instance,
		Listen:   i.settings.Peers.Address,
		Identity: identity,
		Recorder: i.ring,
		Logger:   i.logger.Named("peer"),
	})
	if err != nil {
		return fmt.Errorf("listen for instances on %s: %w", i.settings.Peers.Address, err)
	}
	i.relay = relay.New(relay.Options{
		Instance: i.settings.Instance,
		Network:  i.peers,
		View:     func() spread.View { return i.members.View() },
		Logger:   i.logger.Named("relay"),
	})
	return nil
}

// peerIdentity returns Options.PeerIdentity or, if nil, reads the certificates
// named in the settings.
func peerIdentity(o Options) (peer.Identity, error) {
	if o.PeerIdentity != nil {
		return *o.PeerIdentity, nil
	}
	p := o.Settings.Peers
	certificate, err := p.LoadCertificate()
	if err != nil {
		return peer.Identity{}, fmt.Errorf("load the certificate for instances: %w", err)
	}
	roots, err := p.LoadAuthorities()
	if err != nil {
		return peer.Identity{}, fmt.Errorf("load the authorities of instances: %w", err)
	}
	pins, err := pinnedKeys(p)
	if err != nil {
		return peer.Identity{}, err
	}
	return peer.Identity{Certificate: certificate, Roots: roots, Pins: pins}, nil
}

func pinnedKeys(p settings.Peers) ([]peer.Pin, error) {
	pins := make([]peer.Pin, 0, len(p.PinnedKeys))
	for _, text := range p.PinnedKeys {
		var pin peer.Pin
		if n, err := hex.Decode(pin[:], []byte(text)); err != nil || n != len(pin) {
			return nil, fmt.Errorf("pinned key %q is not a SHA-256 digest in hexadecimal", text)
		}
		pins = append(pins, pin)
	}
	return pins, nil
}
