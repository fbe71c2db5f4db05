// Package enginesim simulates a language-model engine in synthetic time: continuous
// batching, chunked prefill in the same steps as the decoding of other requests, a
// prefix cache in the memory that running requests leave free, and preemption of
// the request that started last when running requests exceed the memory. It is
// deterministic and does no I/O; callers advance the time.
package enginesim

import "time"

// Spec describes an engine. All fields are required.
type Spec struct {
	// MaxBatch is the maximum number of requests that run at the same time.
	MaxBatch int
	// MinStep is the minimum time of one step, in which each running request whose
	// prefill is complete generates one token.
	MinStep time.Duration
	// StepPerRequest and StepPerContext are added to the time of a step for each
	// decoding request and for each thousand tokens of their contexts.
	StepPerRequest, StepPerContext time.Duration
	// PrefillRate is the prefill rate, in prompt tokens per millisecond.
	PrefillRate float64
	// AttentionTime is the attention time of the prefill: the time for each million
	// pairs of a prefilled token and a token before it.
	AttentionTime time.Duration
	// Delay is the time between a request's arrival and its first step.
	Delay time.Duration
	// MaxChunk is the maximum number of prompt tokens that one step prefills.
	MaxChunk int
	// MemoryTokens is the number of tokens that running requests and the cache can hold
	// together.
	MemoryTokens int
	// TokensPerEvent is the number of tokens in one event of an answer.
	TokensPerEvent int
}
