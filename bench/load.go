package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/loadexp"
)

var (
	loads    = []float64{0.5, 1, 2, 4}
	policies = []loadexp.Policy{
		loadexp.Full, loadexp.RoundRobin, loadexp.LeastOutstanding, loadexp.FIFO, loadexp.NoEarlyRefusal, loadexp.NoRetryBudget,
	}
)

// loadRuns holds the results by policy, one per load.
type loadRuns map[loadexp.Policy][]*loadexp.Result

// runLoads runs every policy at every load with equal seeds.
func runLoads(seed uint64, length time.Duration) loadRuns {
	runs := make(loadRuns)
	var running sync.WaitGroup
	for _, p := range policies {
		results := make([]*loadexp.Result, len(loads))
		runs[p] = results
		running.Go(func() {
			for i, load := range loads {
				results[i] = loadexp.Experiment{Policy: p, Seed: seed, Load: load, Length: length}.Run()
			}
		})
	}
	running.Wait()
	return runs
}

// measure is a value of a result, reported by policy and load.
type measure struct {
	file, title, label string
	of                 func(*loadexp.Result) float64
}

var measures = []measure{
	{"attainment", "Attainment of tier 1", "share of requests", func(r *loadexp.Result) float64 { return r.Classes[0].Attainment() }},
	{"attainment-lowest", "Attainment of the lowest tier", "share of requests", func(r *loadexp.Result) float64 { return r.Classes[len(r.Classes)-1].Attainment() }},
	{"goodput", "Goodput", "answer tokens per second", (*loadexp.Result).Goodput},
	{"wasted", "Wasted work", "share of generated tokens", (*loadexp.Result).Wasted},
	{"organisation", "Worst-served small organisation relative to the median", "ratio", (*loadexp.Result).WorstOrganisation},
	{"cheap", "Starts on preemptible backend servers", "share of starts", (*loadexp.Result).PreemptibleShare},
}

func (m measure) chart(runs loadRuns) chart {
	c := chart{File: m.file, Title: m.title, XLabel: "offered load (capacity = 1)", YLabel: m.label}
	for _, p := range policies {
		line := series{Name: string(p)}
		for i, r := range runs[p] {
			line.Points = append(line.Points, point{X: loads[i], Y: m.of(r)})
		}
		c.Lines = append(c.Lines, line)
	}
	return c
}

// table formats the measure by policy and load as a Markdown table.
func (m measure) table(runs loadRuns) string {
	var b strings.Builder
	b.WriteString("| policy |")
	for _, load := range loads {
		fmt.Fprintf(&b, " %gx |", load)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(loads)) + "\n")
	for _, p := range policies {
		fmt.Fprintf(&b, "| %s |", p)
		for _, r := range runs[p] {
			fmt.Fprintf(&b, " %.3f |", m.of(r))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// loadFigures returns the figures of policy Full with their bounds. The worst-served
// organisation is not included, since it needs several seeds;
// TestTargetsUnderOverload of package loadexp checks it.
func loadFigures(runs loadRuns) []figure {
	full := runs[loadexp.Full]
	nominal := full[1].Goodput()
	figures := []figure{{"attainment of tier 1 at 4x", full[3].Classes[0].Attainment(), minTopTierAttainment, false}}
	for i := 2; i < len(loads); i++ {
		at := fmt.Sprintf(" at %gx", loads[i])
		figures = append(figures,
			figure{"goodput relative to that at 1x," + at, full[i].Goodput() / nominal, minGoodputKept, false},
			figure{"wasted work" + at, full[i].Wasted(), maxWasted, true})
		for _, c := range full[i].Classes {
			figures = append(figures, figure{"floor of class " + c.Name + at, full[i].StartShare(c), c.Floor, false})
		}
	}
	return figures
}
