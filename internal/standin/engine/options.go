// Package engine is a stand-in for a model engine. It serves the OpenAI API
// with made-up but deterministic text, and fails on demand.
package engine

import (
	"time"

	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// Options describe one engine. Only Model is required.
type Options struct {
	// Name is the backend server's name. Default "engine".
	Name string
	// Zone is its availability zone.
	Zone string
	// Model is the name of the model served at first.
	Model string
	// Address to listen on. Default: a free port of 127.0.0.1.
	Address string
	// Slots is the number of requests that run at once; others wait by
	// priority. Default 32; zero means the default.
	Slots int
	// ColdLimit is the number of requests in flight that the engine bears after
	// a start. It doubles after each ColdLimit answers. Zero: never cold.
	ColdLimit int
	// FirstToken is the time to the first token of an uncached prompt. Default 0.
	FirstToken time.Duration
	// BetweenTokens is the time between tokens. Default 0.
	BetweenTokens time.Duration
	// AnswerTokens is the mean length of an answer, in tokens; lengths vary by
	// prompt from half to one and a half of it. Default 16; zero means the default.
	AnswerTokens int
	// CacheBlocks is the number of prompt blocks cached. Default 4096; zero
	// means the default.
	CacheBlocks int
	// ReportLag is the age that a load report may have. Zero: none.
	ReportLag time.Duration
	// Fences makes the engine refuse orders with an old fencing number. False:
	// it ignores the numbers.
	Fences bool
	// IgnoresResume makes the engine start each stream anew.
	IgnoresResume bool
	// Recorder takes the time line's events. Nil: none.
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
