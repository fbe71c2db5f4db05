// Package engine is a stand-in for a model engine. It serves the OpenAI API
// with generated, deterministic text, and injects faults on demand.
package engine

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Options configures an engine. Only Model is required.
type Options struct {
	// Name is the backend server's name. If empty, "engine" is used.
	Name string
	// Zone is its availability zone.
	Zone string
	// Model is the name of the model that the engine serves initially.
	Model string
	// Address is the address to listen on. If empty, a free port of 127.0.0.1 is used.
	Address string
	// Slots limits the requests that run at the same time. Further requests wait
	// in order of priority. Zero means 32.
	Slots int
	// ColdLimit limits the requests in flight after a start. The limit doubles
	// whenever as many answers have completed as the limit allows requests, up to
	// Slots. Zero means that the engine is always warm.
	ColdLimit int
	// FirstToken is the time to first token for a prompt that is not cached.
	FirstToken time.Duration
	// BetweenTokens is the time between two tokens.
	BetweenTokens time.Duration
	// AnswerTokens is the mean length of an answer, in tokens. Lengths depend on
	// the prompt and range from 0.5 to 1.5 times the mean. Zero means 16.
	AnswerTokens int
	// CacheBlocks limits the prompt blocks in the cache. Zero means 4096.
	CacheBlocks int
	// ReportLag is the maximum age of a load report that is served again. Zero
	// means that each report is new.
	ReportLag time.Duration
	// Fences makes the engine reject orders with a stale fencing token. If false,
	// it ignores the tokens.
	Fences bool
	// IgnoresResume makes the engine ignore engineapi.ResumeHeader and start each
	// stream from the beginning.
	IgnoresResume bool
	// Recorder receives timeline events. If nil, they are discarded.
	Recorder timeline.Recorder
}

const (
	defaultSlots        = 32
	defaultAnswerTokens = 16
	defaultCacheBlocks  = 4096
)

func (o Options) withDefaults() Options {
	if o.Name == "" {
		o.Name = "engine"
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.AnswerTokens == 0 {
		o.AnswerTokens = defaultAnswerTokens
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard
	}
	return o
}
