// Command bench compares admission and routing under load with baselines, prints the
// figures with their bounds, and writes a report with plots.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// options are the command's flags.
type options struct {
	Out    string        `long:"out" default:"bench/out" description:"folder for the report"`
	Seed   uint64        `long:"seed" default:"1" description:"seed of the load experiment"`
	Length time.Duration `long:"length" default:"200s" description:"synthetic time in which requests arrive"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return fmt.Errorf("create the report folder: %w", err)
	}
	began := time.Now()
	runs := runLoads(o.Seed, o.Length)
	took := time.Since(began)
	report, err := writeReport(o, runs)
	if err != nil {
		return err
	}
	fmt.Print(report)
	fmt.Printf("\n%d runs of %s in %s; report in %s\n",
		len(policies)*len(loads), o.Length, took.Round(time.Millisecond), filepath.Join(o.Out, "report.md"))
	return nil
}

// writeReport writes the report and its plots, and returns the report's text.
func writeReport(o options, runs loadRuns) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "# Load experiment\n\nSeed %d, %s of arrivals, unknown answer lengths, one availability zone slowed by a factor of two.\n"+
		"The worst-served organisation is measured with one seed here; `go test -v -run TestTargets ./internal/loadexp` checks it over five seeds.\n\n", o.Seed, o.Length)
	b.WriteString("| figure | value | bound | verdict |\n|---|---|---|---|\n")
	for _, f := range loadFigures(runs) {
		b.WriteString(f.row())
	}
	for _, m := range measures {
		name, err := m.chart(runs).save(o.Out)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "\n## %s\n\n![%s](%s)\n\n%s", m.title, m.title, name, m.table(runs))
	}
	path := filepath.Join(o.Out, "report.md")
	if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
		return "", fmt.Errorf("write the report: %w", err)
	}
	return b.String(), nil
}
