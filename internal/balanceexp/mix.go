package balanceexp

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/enginesim"
)

// Kind is one kind of request and its callers' requirements.
type Kind struct {
	Name     string
	Priority int // 0 is the most urgent
	// Share is the kind's share of all requests.
	Share float64
	// FirstEventTarget is the time by which the first event is due, MaxPause the
	// longest acceptable pause between two events, and Deadline the time by which
	// the answer must be complete.
	FirstEventTarget, MaxPause, Deadline time.Duration
	// Worth is the value of an answer within the targets, and LateWorth that of a
	// later one.
	Worth, LateWorth float64
	// Shared is the number of prompt tokens that requests with the same prefix
	// share, Own the mean number of tokens specific to a request, and Prefixes the
	// number of different prefixes.
	Shared, Own int
	Prefixes    int
	// Output is the mean number of output tokens.
	Output int
	// Resumable is true when an interrupted answer can be continued on another
	// server.
	Resumable bool
}

// Mix returns the kinds of requests that the users described: long dossiers, drafts
// on shared templates, and short questions for which pauses matter most.
func Mix() []Kind {
	return []Kind{
		{Name: "long", Priority: 2, Share: 0.36, FirstEventTarget: 2 * time.Second, MaxPause: 500 * time.Millisecond, Deadline: 12 * time.Second,
			Worth: 1.4, LateWorth: 0.43, Shared: 13_300, Own: 3720, Prefixes: 212, Output: 110, Resumable: true},
		{Name: "middle", Priority: 1, Share: 0.27, FirstEventTarget: 1200 * time.Millisecond, MaxPause: 200 * time.Millisecond, Deadline: 6 * time.Second,
			Worth: 2.2, LateWorth: 0.66, Shared: 6300, Own: 2890, Prefixes: 68, Output: 52},
		{Name: "short", Priority: 0, Share: 0.37, FirstEventTarget: time.Second, MaxPause: 120 * time.Millisecond, Deadline: 12 * time.Second,
			Worth: 2.4, LateWorth: 0.22, Shared: 350, Own: 1110, Prefixes: 96, Output: 160, Resumable: true},
	}
}

const (
	organisations = 10
	// ownSigma and outputSigma are the sigmas of log-normal sizes.
	ownSigma    = 0.9
	outputSigma = 0.9
	// maxSizeFactor bounds a drawn size to a multiple of its mean.
	maxSizeFactor = 8
	// prefixSkew and organisationSkew are the Zipf exponents of the popularity of
	// prefixes and organisations.
	prefixSkew       = 0.3
	organisationSkew = 1.0
)

// arrival is one request as sent by its caller.
type arrival struct {
	at           time.Duration
	kind         *Kind
	organisation string
	instance     int
	parts        []enginesim.Part
	output       int
}

// draw returns a random request of the mix.
func draw(r *rand.Rand, kinds []Kind, d Day, at time.Duration, instances int, serial uint64) arrival {
	k := pickKind(r, kinds)
	prefix := zipf(r, k.Prefixes, prefixSkew)
	if d.HotPrefixShare > 0 && d.disturbed(at) && k.Name == hotKind && r.Float64() < d.HotPrefixShare {
		prefix = 0
	}
	organisation := zipf(r, organisations, organisationSkew)
	return arrival{
		at: at, kind: k, organisation: organisationName(organisation), instance: r.IntN(instances),
		parts: []enginesim.Part{
			{ID: uint64(k.Priority)<<32 | uint64(prefix), Tokens: k.Shared},
			{ID: 1<<40 + serial, Tokens: max(1, logNormal(r, k.Own, ownSigma))},
		},
		output: max(1, logNormal(r, k.Output, outputSigma)),
	}
}

func organisationName(i int) string { return fmt.Sprintf("org-%d", i) }

func pickKind(r *rand.Rand, kinds []Kind) *Kind {
	point := r.Float64()
	for i := range kinds {
		if point < kinds[i].Share {
			return &kinds[i]
		}
		point -= kinds[i].Share
	}
	return &kinds[len(kinds)-1]
}

// zipf returns a random number below n with a Zipf distribution: lower numbers are
// more frequent, the more so the larger the skew.
func zipf(r *rand.Rand, n int, skew float64) int {
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -skew)
	}
	point := r.Float64() * total
	for i := range n {
		point -= math.Pow(float64(i+1), -skew)
		if point < 0 {
			return i
		}
	}
	return n - 1
}

// logNormal returns a random log-normal size with the given mean.
func logNormal(r *rand.Rand, mean int, sigma float64) int {
	mu := math.Log(float64(mean)) - sigma*sigma/2
	return int(min(math.Exp(mu+sigma*r.NormFloat64()), maxSizeFactor*float64(mean)))
}
