package demo

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Each duty must be held by exactly one instance, and each instance must report the
// configuration version of its peer.
func TestStatusDutiesAndPeers(t *testing.T) {
	is := is.New(t)
	d := start(t)
	awaitPeers(t, d)
	holders := func() map[string]int {
		held := make(map[string]int)
		for _, i := range d.instances {
			for _, duty := range i.Status(context.Background()).Duties {
				held[duty.Duty]++
			}
		}
		return held
	}
	eventually(t, "every duty is held", 15*time.Second, func() bool { return len(holders()) == 3 })
	for duty, n := range holders() {
		if n != 1 {
			t.Errorf("duty %s is held by %d instances", duty, n)
		}
	}
	for _, i := range d.instances {
		eventually(t, "the peer's version is reported", 5*time.Second, func() bool {
			return i.Status(context.Background()).Peers[0].Version == i.ConfigVersion()
		})
	}
	is.True(d.instances[0].ConfigVersion() > 0)
}
