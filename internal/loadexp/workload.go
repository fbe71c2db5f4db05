package loadexp

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/config"
)

// classLoad is one class and the distribution of its requests.
type classLoad struct {
	spec   config.Class
	share  float64 // of all requests
	input  int     // mean prompt tokens
	output float64 // median answer tokens
	spread float64 // sigma of the log-normal answer length
}

const (
	// maxAnswerShare bounds answers: at maxTokenTime per token, the longest answer
	// takes this share of its class's deadline.
	maxAnswerShare = 0.8
	maxTokenTime   = 53 * time.Millisecond
	// largeOrganisations send largeShare of each class's requests.
	organisations      = 10
	largeOrganisations = 3
	largeShare         = 0.7
	// templatesPerClass is the number of prompt prefixes that requests of a class
	// share.
	templatesPerClass = 6
	// templateBlocks is the number of blocks of a template. A prompt has
	// promptBlocks in total.
	templateBlocks = 5
	promptBlocks   = 8
	// workPerPromptToken is the work of prefilling one token, in answer tokens.
	workPerPromptToken = 0.02
	modelName          = "m"
)

func seconds(s float64) config.Duration { return config.Duration(s * float64(time.Second)) }

// classLoads returns seven classes, one per tier.
func classLoads() []classLoad {
	token := seconds(0.053)
	return []classLoad{
		{config.Class{Name: "status", Tier: 1, Floor: 0.05, FirstToken: seconds(0.91), BetweenTokens: token, Deadline: seconds(20)}, 0.10, 300, 20, 0.5},
		{config.Class{Name: "label", Tier: 2, Floor: 0.05, FirstToken: seconds(1.5), BetweenTokens: token, Deadline: seconds(30)}, 0.10, 500, 40, 0.7},
		{config.Class{Name: "summary", Tier: 3, Floor: 0.05, FirstToken: seconds(3), Deadline: seconds(60)}, 0.20, 4000, 120, 1},
		{config.Class{Name: "letter", Tier: 4, Floor: 0.04, FirstToken: seconds(5), Deadline: seconds(60)}, 0.15, 1500, 150, 1},
		{config.Class{Name: "draft", Tier: 5, Floor: 0.03, FirstToken: seconds(10), Deadline: seconds(90), AllowPreemptible: true}, 0.20, 2500, 200, 1.2},
		{config.Class{Name: "report", Tier: 6, Floor: 0.02, FirstToken: seconds(30), Deadline: seconds(120), AllowPreemptible: true}, 0.15, 3000, 200, 1.2},
		{config.Class{Name: "batch", Tier: 7, Floor: 0.02, Deadline: seconds(120), AllowPreemptible: true}, 0.10, 1000, 150, 1.2},
	}
}

// meanSamples is the number of requests that meanWork samples.
const meanSamples = 20_000

// meanWork estimates the mean work of a request in answer tokens.
func meanWork(loads []classLoad) float64 {
	r := rand.New(rand.NewPCG(0, 0))
	sum := 0.0
	for range meanSamples {
		l := sampleClass(r, loads)
		sum += float64(sampleLength(r, l)) + workPerPromptToken*float64(l.input)
	}
	return sum / meanSamples
}

// arrival is one request as its caller sends it. The policies do not know its answer
// length.
type arrival struct {
	at           time.Duration
	load         *classLoad
	organisation string
	large        bool
	input        int
	output       int
	prefixes     []uint64
	instance     int
}

// arrivals samples a Poisson process with a rate in requests per second.
func arrivals(r *rand.Rand, loads []classLoad, rate float64, until time.Duration, instances int) []arrival {
	var all []arrival
	at := 0.0
	for {
		at += r.ExpFloat64() / rate
		if at >= until.Seconds() {
			return all
		}
		l := sampleClass(r, loads)
		a := arrival{
			at:       time.Duration(at * float64(time.Second)),
			load:     l,
			input:    int(float64(l.input) * (0.5 + r.Float64())),
			output:   sampleLength(r, l),
			instance: r.IntN(instances),
		}
		a.organisation, a.large = sampleOrganisation(r)
		a.prefixes = samplePrefixes(r, l)
		all = append(all, a)
	}
}

func sampleClass(r *rand.Rand, loads []classLoad) *classLoad {
	x := r.Float64()
	for i := range loads {
		x -= loads[i].share
		if x < 0 {
			return &loads[i]
		}
	}
	return &loads[len(loads)-1]
}

func sampleLength(r *rand.Rand, l *classLoad) int {
	n := int(l.output * math.Exp(l.spread*r.NormFloat64()))
	return min(max(n, 1), maxAnswerTokens(l))
}

// maxAnswerTokens returns the maximum length of a class's answers, in tokens.
func maxAnswerTokens(l *classLoad) int {
	return int(maxAnswerShare * float64(l.spec.Deadline) / float64(maxTokenTime))
}

func sampleOrganisation(r *rand.Rand) (name string, large bool) {
	if r.Float64() < largeShare {
		return fmt.Sprintf("large%d", r.IntN(largeOrganisations)), true
	}
	return fmt.Sprintf("small%d", r.IntN(organisations-largeOrganisations)), false
}

// samplePrefixes returns the block digests of a prompt: a shared template followed
// by unique blocks.
func samplePrefixes(r *rand.Rand, l *classLoad) []uint64 {
	template := uint64(l.spec.Tier)<<32 | uint64(r.IntN(templatesPerClass))<<8
	prefixes := make([]uint64, promptBlocks)
	for i := range prefixes {
		if i < templateBlocks {
			prefixes[i] = template | uint64(i+1)
		} else {
			prefixes[i] = r.Uint64()
		}
	}
	return prefixes
}
