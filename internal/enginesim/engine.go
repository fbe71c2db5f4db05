package enginesim

import (
	"slices"
	"time"
)

// Request is one request to an engine.
type Request struct {
	// Parts are the prompt's parts in order. The last one is specific to the
	// request.
	Parts []Part
	// Output is the length of the answer in tokens.
	Output int
	// Event is called for each event of the answer, with the time and whether it is
	// the last one. It must not call the engine. Required.
	Event func(at time.Duration, last bool)

	arrived        time.Duration
	pendingPrefill int // tokens that remain to be prefilled
	generated      int // answer tokens generated so far
}

// prompt returns the length of the prompt in tokens.
func (r *Request) prompt() int {
	tokens := 0
	for _, p := range r.Parts {
		tokens += p.Tokens
	}
	return tokens
}

// context returns the number of tokens that the request holds in memory.
func (r *Request) context() int { return r.prompt() - r.pendingPrefill + r.generated }

// Engine simulates one engine. Use New to create one. It is not safe for concurrent
// use.
type Engine struct {
	spec       Spec
	slow       float64 // factor of the time of a step
	cache      *cache
	waiting    []*Request // by arrival
	running    []*Request // by start
	stepping   bool       // whether a step is in progress
	stepEnd    time.Duration
	prefilling []*Request // requests that the step prefills
	chunks     []int      // prompt tokens that the step prefills, per request
	decodes    []*Request // requests that generate a token in the step

	// PrefilledTokens counts prefilled tokens, and Preempted counts preemptions.
	PrefilledTokens, Preempted int
}

// New returns an idle engine with an empty cache.
func New(s Spec) *Engine { return &Engine{spec: s, slow: 1, cache: newCache()} }

// SetSlow multiplies the time of later steps by a factor. The factor is 1 for
// a new engine and after a crash.
func (e *Engine) SetSlow(factor float64) { e.slow = factor }

// Add submits a request to the engine.
func (e *Engine) Add(now time.Duration, r *Request) {
	r.arrived = now
	e.waiting = append(e.waiting, r)
	if !e.stepping {
		e.begin(now)
	}
}

// Remove cancels a request.
func (e *Engine) Remove(r *Request) {
	drop := func(list []*Request) []*Request {
		return slices.DeleteFunc(list, func(x *Request) bool { return x == r })
	}
	e.waiting, e.running, e.decodes = drop(e.waiting), drop(e.running), drop(e.decodes)
}

// Crash removes all requests and empties the cache, as a crash does. It returns the
// removed requests.
func (e *Engine) Crash() []*Request {
	all := slices.Concat(e.running, e.waiting)
	read, preempted := e.PrefilledTokens, e.Preempted
	*e = *New(e.spec)
	e.PrefilledTokens, e.Preempted = read, preempted
	return all
}

// Next returns the time at which to call Advance, or false if the engine is idle.
func (e *Engine) Next() (time.Duration, bool) {
	if e.stepping {
		return e.stepEnd, true
	}
	if len(e.waiting) > 0 {
		return e.waiting[0].arrived + e.spec.Delay, true
	}
	return 0, false
}

// Advance completes the step that is due and starts the next one. Call it at the
// times that Next returns.
func (e *Engine) Advance(now time.Duration) {
	if e.stepping && now >= e.stepEnd {
		e.finish(now)
	}
	if !e.stepping {
		e.begin(now)
	}
}

// begin starts a step if any request can run.
func (e *Engine) begin(now time.Duration) {
	e.admit(now)
	if len(e.running) == 0 {
		return
	}
	e.plan()
	e.stepping = true
	e.stepEnd = now + time.Duration(e.slow*float64(e.duration()))
}

// admit moves waiting requests to the batch while the batch and the memory have
// room.
func (e *Engine) admit(now time.Duration) {
	for len(e.waiting) > 0 && len(e.running) < e.spec.MaxBatch {
		r := e.waiting[0]
		if r.arrived+e.spec.Delay > now {
			return
		}
		if len(e.running) > 0 && e.used()+r.prompt()+r.generated > e.spec.MemoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		r.pendingPrefill = r.prompt() + r.generated - e.cache.cachedTokens(r.Parts)
		e.running = append(e.running, r)
	}
}

// used returns the number of tokens that running requests hold, or will hold when
// their prefill is complete.
func (e *Engine) used() int {
	tokens := 0
	for _, r := range e.running {
		tokens += r.context() + r.pendingPrefill
	}
	return tokens
}

// plan selects the requests that the next step prefills and those that generate a
// token.
func (e *Engine) plan() {
	e.freeMemory()
	e.prefilling, e.chunks, e.decodes = nil, nil, nil
	budget := e.spec.MaxChunk
	for _, r := range e.running {
		if r.pendingPrefill <= 0 {
			e.decodes = append(e.decodes, r)
			continue
		}
		if budget == 0 {
			continue
		}
		chunk := min(budget, r.pendingPrefill)
		budget -= chunk
		e.prefilling = append(e.prefilling, r)
		e.chunks = append(e.chunks, chunk)
	}
}

// freeMemory evicts from the cache, and then preempts the requests that started
// last, until the running requests fit into the memory. One request always runs.
func (e *Engine) freeMemory() {
	used := e.used()
	e.cache.evict(e.spec.MemoryTokens - used)
	for used > e.spec.MemoryTokens && len(e.running) > 1 {
		youngest := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		used -= youngest.context() + youngest.pendingPrefill
		youngest.pendingPrefill = 0
		e.waiting = slices.Insert(e.waiting, 0, youngest)
		e.Preempted++
	}
}

// duration returns the time of the planned step, before the factor of SetSlow.
func (e *Engine) duration() time.Duration {
	d := e.spec.MinStep + time.Duration(len(e.decodes))*e.spec.StepPerRequest
	contexts := 0
	for _, r := range e.decodes {
		contexts += r.context()
	}
	const thousand, million = 1000, 1_000_000
	d += time.Duration(float64(contexts) / thousand * float64(e.spec.StepPerContext))
	for i, r := range e.prefilling {
		chunk := float64(e.chunks[i])
		d += time.Duration(chunk / e.spec.PrefillRate * float64(time.Millisecond))
		d += time.Duration(chunk * float64(r.context()) / million * float64(e.spec.AttentionTime))
	}
	return d
}

// finish completes the current step.
func (e *Engine) finish(now time.Duration) {
	e.stepping = false
	for i, r := range e.prefilling {
		e.PrefilledTokens += e.chunks[i]
		r.pendingPrefill -= e.chunks[i]
		if r.pendingPrefill == 0 {
			e.cache.store(r.Parts, e.spec.MemoryTokens-e.used())
		}
	}
	for _, r := range e.decodes {
		r.generated++
		if last := r.generated >= r.Output; last || r.generated%e.spec.TokensPerEvent == 0 {
			r.Event(now, last)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *Request) bool { return r.generated >= r.Output })
}
