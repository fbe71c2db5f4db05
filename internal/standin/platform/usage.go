package platform

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	api "github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

type usage struct {
	mu           sync.Mutex
	reports      map[string]api.UsageReport // first report by window
	highestToken map[string]uint64          // highest fencing token by duty
	violations   []string
}

func (u *usage) init() {
	u.reports = make(map[string]api.UsageReport)
	u.highestToken = make(map[string]uint64)
}

// Reports returns the first report of each window, sorted by window id.
func (p *Platform) Reports() []api.UsageReport {
	p.usage.mu.Lock()
	defer p.usage.mu.Unlock()
	var list []api.UsageReport
	for _, r := range p.usage.reports {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b api.UsageReport) int { return strings.Compare(a.Window, b.Window) })
	return list
}

// Violations describes the windows that were reported again with different
// figures.
func (p *Platform) Violations() []string {
	p.usage.mu.Lock()
	defer p.usage.mu.Unlock()
	return slices.Clone(p.usage.violations)
}

// usageCaller implements api.UsageSink for one caller.
type usageCaller struct{ *Caller }

// Report implements api.UsageSink.
func (c usageCaller) Report(ctx context.Context, r api.UsageReport) error {
	_, err := call(ctx, c.Caller, UsageInterface, cost{}, func() (struct{}, error) {
		c.p.counts.add(c.name, UsageInterface, Counts{WriteCalls: 1, WriteRows: int64(len(r.Lines))})
		return struct{}{}, c.p.report(r)
	})
	return err
}

// report keeps the first report of a window. It records every report, so that a
// different one is visible in the timeline.
func (p *Platform) report(r api.UsageReport) error {
	u := &p.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	if !p.options.IgnoreTokens && r.Token < u.highestToken[r.Duty] {
		return &api.StaleTokenError{Token: r.Token, Seen: u.highestToken[r.Duty]}
	}
	u.highestToken[r.Duty] = max(u.highestToken[r.Duty], r.Token)
	p.recordReport(r)
	first, ok := u.reports[r.Window]
	if !ok {
		r.Lines = slices.Clone(r.Lines)
		u.reports[r.Window] = r
		return nil
	}
	if !slices.Equal(first.Lines, r.Lines) {
		u.violations = append(u.violations, fmt.Sprintf("window %q was reported again with different figures", r.Window))
	}
	return nil
}

// recordReport records one event per organisation, in the order of the lines.
func (p *Platform) recordReport(r api.UsageReport) {
	var order []string
	sums := make(map[string]int64)
	for _, line := range r.Lines {
		if _, ok := sums[line.Organisation]; !ok {
			order = append(order, line.Organisation)
		}
		sums[line.Organisation] += line.InputTokens + line.OutputTokens
	}
	for _, name := range order {
		p.options.Recorder.Record(timeline.Event{
			Kind: timeline.PlatformUsage, Window: r.Window, Organisation: name,
			Count: sums[name], Duty: r.Duty, Token: r.Token,
		})
	}
}
