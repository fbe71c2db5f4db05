package confsync

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
)

const (
	// maxCompileCPUShare is the maximum share of one core spent on decoding
	// texts.
	maxCompileCPUShare = 0.03
	// minPacedCost is the decoding time below which the next decoding is not
	// delayed.
	minPacedCost = 5 * time.Millisecond
	// maxCompileGap is the maximum delay before a new text is decoded.
	maxCompileGap = 1750 * time.Millisecond
)

// compileGap returns the minimum delay between the end of a decoding and the
// start of the next one, so that a burst of changes to a large text is decoded
// in batches.
func compileGap(cost time.Duration) time.Duration {
	if cost < minPacedCost {
		return 0
	}
	return min(time.Duration(float64(cost)/maxCompileCPUShare), maxCompileGap)
}

// compiledText is the newest text that compiled.
type compiledText struct {
	version uint64 // TextVersion that it was compiled from
	text    string
	config  config.Config
}

// compilePacer limits the rate of decoding.
type compilePacer struct {
	nextStart time.Time // earliest start of the next decoding
	scheduled bool      // a delayed decoding is scheduled
}

// compileText decodes the state's text if it is new. If the last decoding was
// too recent, the decoding is scheduled for later. If a text does not compile,
// for example because a newer release wrote it, the older one stays in force
// and the instance turns stale. The caller holds publishMu.
func (s *Store) compileText(next State) {
	if next.TextVersion == s.compiled.version {
		return
	}
	began := s.options.Now()
	if wait := s.pacer.nextStart.Sub(began); wait > 0 && s.compiled.version != 0 {
		s.compileLater(wait)
		return
	}
	c, err := s.options.Compile(next.Text)
	ended := s.options.Now()
	s.pacer.nextStart = ended.Add(compileGap(ended.Sub(began)))
	if err != nil {
		s.options.Logger.Error("configuration does not compile; it is not applied",
			"version", next.TextVersion, "error", err)
		return
	}
	s.compiled = compiledText{version: next.TextVersion, text: next.Text, config: c}
}

// compileLater schedules one decoding of the text that is current then. The
// caller holds publishMu.
func (s *Store) compileLater(wait time.Duration) {
	if s.pacer.scheduled {
		return
	}
	s.pacer.scheduled = true
	time.AfterFunc(wait, s.compileNow)
}

// compileNow runs a delayed decoding and publishes the result.
func (s *Store) compileNow() {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.pacer.scheduled = false
	before := s.inForce()
	s.compileText(s.State())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish()
	s.promoteProof()
	s.fire(eventSnapshot, s.inForce() > before)
}
