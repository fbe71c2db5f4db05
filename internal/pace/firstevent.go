package pace

import (
	"math"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

const (
	// priorFixed is the assumed part of the time to the first event that does not depend on
	// the prompt, in milliseconds. minFixed and maxFixed bound the learned one.
	priorFixed = 45.0
	minFixed   = 10.0
	maxFixed   = 120.0
	// fixedWeight is the number of observations as which the assumption counts, and
	// fixedSpread the number of tokens of these observations.
	fixedWeight = 1.0
	fixedSpread = 2000.0
	// shareTokens is the number of pending tokens that hardly affect the time.
	shareTokens = 300.0
	// maxFirstEventFactor bounds an observed time relative to the expected one, since times
	// that are far from it have other causes than the prompt.
	maxFirstEventFactor = 3.0
)

// firstEventLine is the time to the first event as a linear function of the tokens that are
// prefilled before it, over all servers of a service. Each instance learns its own, by
// least squares of relative errors with decayed sums.
type firstEventLine struct {
	weight, n, t, nn, nt float64
	at                   boottime.Instant
}

// add adds the time in milliseconds to a first event after the prefill of tokens that were
// pending and the request's own ones, on a server of average speed. Observations with more
// of the former are left out, since pending tokens are overstated; see FirstEvent.
func (l *firstEventLine) add(now boottime.Instant, ahead, own, took float64) {
	if ahead > own+shareTokens {
		return
	}
	tokens := ahead + own
	f := decay(now.Sub(l.at), speedDecayTime)
	l.weight, l.n, l.t, l.nn, l.nt = f*l.weight, f*l.n, f*l.t, f*l.nn, f*l.nt
	l.at = now
	fixed, perToken := l.solve()
	expected := fixed + perToken*tokens
	took = min(max(took, expected/maxFirstEventFactor), maxFirstEventFactor*expected)
	w := math.Pow(priorFixed/expected, 2)
	l.weight += w
	l.n += w * tokens
	l.t += w * took
	l.nn += w * tokens * tokens
	l.nt += w * tokens * took
}

// solve returns the fixed part in milliseconds, and the milliseconds per token.
func (l *firstEventLine) solve() (fixed, perToken float64) {
	const spread = fixedWeight * fixedSpread * fixedSpread
	weight, nn := l.weight+fixedWeight, l.nn+spread
	t, nt := l.t+fixedWeight*priorFixed, l.nt+spread/DefaultPrefillRate
	determinant := weight*nn - l.n*l.n // above zero by the assumption
	perToken = (weight*nt - l.n*t) / determinant
	perToken = min(max(perToken, 1/(maxRateFactor*DefaultPrefillRate)), 1/(minRateFactor*DefaultPrefillRate))
	fixed = (t - perToken*l.n) / weight
	return min(max(fixed, minFixed), maxFixed), perToken
}

// FirstEvent adds the time to the first event of a stream. ahead is the number of prompt
// tokens that were pending on the server before the request, and own that of the request's
// own uncached tokens. The more of the time the request's own prompt explains, the more an
// observation counts: pending tokens are overstated while servers are busy, since they
// count as pending until the first event was seen. It is safe for concurrent use.
func (b *Book) FirstEvent(s Subject, ahead, own int, took time.Duration) {
	if b == nil {
		return
	}
	ahead, own = max(ahead, 0), max(own, 0)
	tokens := float64(ahead + own)
	b.mu.Lock()
	defer b.mu.Unlock()
	sums := b.own(s)
	if sums == nil {
		return
	}
	now := b.options.Now()
	slowness := b.snapshot.Load().Lookup(s.Server, s.Service).Slowness()
	line := b.firstEventLine(s.Service)
	line.add(now, float64(ahead), float64(own), millis(took)/slowness)
	b.observed.firstEvents++
	if own < minPrefillTokens {
		return
	}
	fixed, _ := line.solve()
	rate := math.Log(tokens / DefaultPrefillRate / max(millis(took)-fixed*slowness, minMillis))
	weight := tokens / (tokens + halfPrefillTokens) * float64(own) / tokens
	sums.prefill.add(weight, min(max(rate, minRateLog), maxRateLog))
}

func (b *Book) firstEventLine(service string) *firstEventLine {
	l := b.lines[service]
	if l == nil {
		if len(b.lines) >= maxCurves {
			clear(b.lines)
		}
		l = &firstEventLine{}
		b.lines[service] = l
	}
	return l
}
