package confsync

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
)

const (
	// compileShare is the share of one core that decoding texts may take.
	compileShare = 0.03
	// minPacedCost is the cost of a decoding below which nothing waits.
	minPacedCost = 5 * time.Millisecond
	// maxCompileGap bounds how long a new text may wait to be decoded.
	maxCompileGap = 1750 * time.Millisecond
)

// compileGap returns how long after a decoding the next one may begin, so that
// a run of changes to a large text is decoded together.
func compileGap(cost time.Duration) time.Duration {
	if cost < minPacedCost {
		return 0
	}
	return min(time.Duration(float64(cost)/compileShare), maxCompileGap)
}

// compiledText is the newest text that compiled.
type compiledText struct {
	version uint64 // TextVersion that it was compiled from
	text    string
	config  config.Config
}

// compiler paces the decoding of texts.
type compiler struct {
	next  time.Time // when the next decoding may begin
	armed bool      // a later decoding is under way
}

// compileText decodes the state's text if it is new and the last decoding is
// long enough ago; else it is decoded later. A text that does not compile,
// such as one written by a newer release, leaves the older one in force and
// the instance stale. The caller holds writing.
func (s *Store) compileText(next State) {
	if next.TextVersion == s.compiled.version {
		return
	}
	began := s.options.Now()
	if wait := s.compiler.next.Sub(began); wait > 0 && s.compiled.version != 0 {
		s.compileLater(wait)
		return
	}
	c, err := s.options.Compile(next.Text)
	ended := s.options.Now()
	s.compiler.next = ended.Add(compileGap(ended.Sub(began)))
	if err != nil {
		s.options.Logger.Error("configuration does not compile",
			"version", next.TextVersion, "error", err)
		return
	}
	s.compiled = compiledText{version: next.TextVersion, text: next.Text, config: c}
}

// compileLater arms one decoding of whatever the text is then. The caller
// holds writing.
func (s *Store) compileLater(wait time.Duration) {
	if s.compiler.armed {
		return
	}
	s.compiler.armed = true
	time.AfterFunc(wait, s.compileNow)
}

// compileNow puts a text in force that had to wait.
func (s *Store) compileNow() {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.compiler.armed = false
	before := s.inForce()
	s.compileText(s.State())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish()
	s.meet()
	s.fire(eventSnapshot, s.inForce() > before)
}
