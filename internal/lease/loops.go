package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/wait"
)

// Periods of the less frequent steps of the watch loop, in watch intervals.
const (
	extraWatchTicks = 16 // between changes of the extra duty to watch
	handOffTicks    = 10 // between hand-offs of one excess duty
)

// extraWatchers is the expected number of instances that watch a duty in addition to its
// candidates, in case all candidates have crashed.
const extraWatchers = 1

// renewLoop renews the heartbeat row.
func (m *Manager) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if m.idle() {
			if wait.For(ctx, m.options.Timing.Watch) != nil {
				return
			}
			continue
		}
		var r renewal
		start := m.reading().Mono
		m.update(func(c *core, now Reading) { r = c.beat.renew(now) })
		versions, err := m.commit(ctx, r.Txn)
		var step nextStep
		m.update(func(c *core, now Reading) { step = c.applyRenewal(now, r, versions, err) })
		delay := m.options.Timing.Heartbeat - (m.reading().Mono - start)
		if err != nil {
			m.options.Logger.Debug("heartbeat renewal failed; retrying", "error", err)
			delay = m.options.Timing.Retry
		}
		if step == nextReadBack {
			step = m.readBack(ctx)
		}
		if step == nextNewIncarnation {
			m.options.Logger.Debug("heartbeat cannot be renewed; continuing under a new incarnation")
			m.update(func(c *core, _ Reading) { c.startIncarnation(m.newHolder()) })
		}
		if wait.For(ctx, delay) != nil {
			return
		}
	}
}

// idle reports whether this instance holds no duty and may claim none, so that it needs
// no heartbeat row.
func (m *Manager) idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.idle()
}

// readBack reads the heartbeat row to find which renewal took effect.
func (m *Manager) readBack(ctx context.Context) nextStep {
	m.mu.Lock()
	key := m.core.beat.holder.heartbeatKey()
	m.mu.Unlock()
	rows, err := m.get(ctx, key)
	if err != nil {
		return nextWait
	}
	var step nextStep
	m.update(func(c *core, now Reading) { step = c.applyReadBack(now, rows[0]) })
	return step
}

// expiryLoop ends the tenures when the lease expires, even while a renewal is waiting for
// its reply.
func (m *Manager) expiryLoop(ctx context.Context) {
	for {
		var left time.Duration
		m.update(func(c *core, now Reading) {
			c.expire(now)
			left = c.beat.remaining(now)
		})
		if left <= 0 {
			left = m.options.Timing.Retry
		}
		if wait.For(ctx, left) != nil {
			return
		}
	}
}

// watchLoop reads the watched rows and claims free duties.
func (m *Manager) watchLoop(ctx context.Context) {
	if wait.For(ctx, jitter(m.options.Timing.Watch)) != nil {
		return
	}
	nextRead := m.reading().Mono
	for tick := 0; ctx.Err() == nil; {
		if m.reading().Mono >= nextRead {
			nextRead = m.reading().Mono + m.options.Timing.Watch
			m.plan(tick)
			m.watch(ctx)
			m.handOffExcess(ctx, tick)
			tick++
		}
		nextCheck, readAgain := m.claimDue(ctx)
		if readAgain {
			nextRead = m.reading().Mono
		}
		nextCheck = min(nextCheck, nextRead-m.reading().Mono)
		if wait.For(ctx, max(nextCheck, time.Millisecond)) != nil {
			return
		}
	}
}

// plan updates the members and, every extraWatchTicks, the extra duty to watch.
func (m *Manager) plan(tick int) {
	var members []string
	if m.options.Members != nil {
		members = m.options.Members()
	}
	m.update(func(c *core, _ Reading) {
		c.setMembers(members)
		if tick%extraWatchTicks != 0 || len(c.duties) == 0 {
			return
		}
		c.extraWatch = ""
		if rand.IntN(len(c.members)) < extraWatchers*len(c.duties) {
			c.extraWatch = c.duties[rand.IntN(len(c.duties))]
		}
	})
}

// watch reads the watched rows.
func (m *Manager) watch(ctx context.Context) {
	var keys []string
	m.update(func(c *core, _ Reading) { keys = c.watchKeys() })
	if len(keys) == 0 {
		return
	}
	rows, err := m.get(ctx, keys...)
	if err != nil {
		m.options.Logger.Debug("failed to read the rows of watched duties; retrying", "error", err)
		return
	}
	m.update(func(c *core, now Reading) { err = c.observe(now, rows) })
	if err != nil {
		m.options.Logger.Error("cannot decode the rows of watched duties", "error", err)
	}
}

// claimDue claims the duties that are free. It returns the time until the next check, and
// whether the rows should be read first.
func (m *Manager) claimDue(ctx context.Context) (nextCheck time.Duration, readAgain bool) {
	var due []claim
	m.update(func(c *core, now Reading) { due, nextCheck = c.dueClaims(now) })
	var calls sync.WaitGroup
	for _, cl := range due {
		calls.Go(func() {
			versions, err := m.commit(ctx, cl.Txn)
			m.update(func(c *core, now Reading) {
				conflict := c.applyClaim(now, cl, versions, err)
				readAgain = readAgain || conflict
			})
			if err != nil {
				m.options.Logger.Debug("failed to claim duties", "duties", len(cl.Duties), "error", err)
			}
		})
	}
	calls.Wait()
	return nextCheck, readAgain
}

// handOffExcess releases a duty that another instance should hold, every handOffTicks.
func (m *Manager) handOffExcess(ctx context.Context, tick int) {
	if tick%handOffTicks != 0 {
		return
	}
	var duty string
	var ok bool
	m.update(func(c *core, _ Reading) { duty, ok = c.excessDuty() })
	if ok {
		m.Release(ctx, duty)
	}
}

// Release releases a duty once the work under it has ended, so that another instance can
// claim it. It does nothing if ctx ends first.
func (m *Manager) Release(ctx context.Context, duty string) {
	m.setStopping(duty, true)
	defer m.setStopping(duty, false)
	if !m.waitIdle(ctx, duty) {
		return
	}
	var txns []platform.Txn
	m.update(func(c *core, _ Reading) { txns = c.release([]string{duty}, eventUnwanted) })
	for _, txn := range txns {
		if _, err := m.commit(ctx, txn); err != nil {
			m.options.Logger.Warn("failed to release a duty; its lease will expire instead", "duty", duty, "error", err)
		}
	}
}
