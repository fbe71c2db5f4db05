package loadexp

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
)

const (
	testSeed = 1
	// measuredLength is long enough for small organisations in low tiers to receive
	// enough answers for a comparison.
	measuredLength = 200 * time.Second
	// poolSeeds is the number of additional runs over which the answers of
	// organisations are pooled.
	poolSeeds = 4
)

// Targets; see docs/design/0024-load-experiment.md.
const (
	minTopTierAttainment = 0.99
	minGoodputKept       = 0.95
	maxWasted            = 0.02
	minWorstOrganisation = 0.9
)

func TestTargetsUnderOverload(t *testing.T) {
	t.Parallel()
	nominal := Experiment{Seed: testSeed, Length: measuredLength}.Run()
	for _, load := range []float64{2, 4} {
		t.Run(fmt.Sprintf("load %v", load), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := Experiment{Load: load, Seed: testSeed, Length: measuredLength}.Run()
			t.Log(row(r))
			is.True(r.Classes[0].Attainment() >= minTopTierAttainment)
			is.True(r.Goodput() >= minGoodputKept*nominal.Goodput())
			is.True(r.Wasted() <= maxWasted)
			for _, more := range runMoreSeeds(load) {
				r.addOrganisations(more)
			}
			t.Logf("worst organisation over %d seeds: %.3f", poolSeeds+1, r.WorstOrganisation())
			is.True(r.WorstOrganisation() >= minWorstOrganisation)
			for _, c := range r.Classes {
				if r.StartShare(c) < c.Floor {
					t.Errorf("class %s got %.3f of the starts, floor %.3f", c.Name, r.StartShare(c), c.Floor)
				}
			}
		})
	}
}

// runMoreSeeds runs the experiment with poolSeeds other seeds.
func runMoreSeeds(load float64) []*Result {
	results := make([]*Result, poolSeeds)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			x := Experiment{Load: load, Seed: testSeed + 1 + uint64(i), Length: measuredLength}
			results[i] = x.Run()
		})
	}
	wg.Wait()
	return results
}

func TestBaselinesAreWorse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	full := Experiment{Load: 4, Seed: testSeed}.Run()
	fifo := Experiment{Policy: FIFO, Load: 4, Seed: testSeed}.Run()
	late := Experiment{Policy: NoEarlyRefusal, Load: 4, Seed: testSeed}.Run()
	is.True(fifo.Classes[0].Attainment() < 0.5)  // without priorities, tier 1 waits behind all others
	is.True(late.Wasted() > 2*maxWasted)         // without early refusal, expired requests waste work
	is.True(late.Goodput() < 0.7*full.Goodput()) // and answers miss their targets
	is.True(full.WorstOrganisation() > fifo.WorstOrganisation() || full.Goodput() > fifo.Goodput())
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	failing := Experiment{Load: 1, Seed: testSeed, FailShare: 0.6}
	full := failing.Run()
	failing.Policy = NoRetryBudget
	unbounded := failing.Run()
	for _, r := range []*Result{full, unbounded} {
		t.Logf("%s: %d retries of %d starts, wasted %.3f, goodput %.0f", r.Experiment.Policy, r.retries, r.starts, r.Wasted(), r.Goodput())
	}
	// Each class has an initial budget of three retries on each of four instances.
	maxRetries := int(config.DefaultRetryBudget*float64(full.starts)) + 3*4*len(full.Classes)
	is.True(full.retries <= maxRetries)
	is.True(unbounded.retries > 2*maxRetries)
}

func TestDeterminism(t *testing.T) {
	is := is.New(t)
	x := Experiment{Load: 2, Seed: 7, Length: 30 * time.Second}
	is.Equal(row(x.Run()), row(x.Run()))
}

// TestTable prints the results of all policies and loads. It runs only with -v.
func TestTable(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints the results only with -v")
	}
	for _, load := range []float64{0.5, 1, 2, 4} {
		for _, p := range []Policy{Full, BestOfTwo, LowestPrice, RoundRobin, LeastOutstanding, FIFO, NoEarlyRefusal} {
			t.Log(row(Experiment{Policy: p, Load: load, Seed: testSeed, Length: measuredLength}.Run()))
		}
	}
}

func row(r *Result) string {
	var tiers []string
	for _, c := range r.Classes {
		tiers = append(tiers, fmt.Sprintf("%5.1f", 100*c.Attainment()))
	}
	return fmt.Sprintf("%3.1fx %-17s | %s | goodput %6.0f | wasted %4.1f%% | worst %4.2f | preemptible %4.1f%% | preempted %d",
		r.Experiment.Load, r.Experiment.Policy, strings.Join(tiers, " "), r.Goodput(), 100*r.Wasted(),
		r.WorstOrganisation(), 100*r.PreemptibleShare(), r.preempted)
}
