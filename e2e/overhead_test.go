package e2e

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/demo"
)

const (
	loadRequestsPerSecond = 60
	loadTokensPerAnswer   = 250 // 15,000 tokens per second in total
	loadBetweenTokens     = 6600 * time.Microsecond
	loadSeconds           = 6
	clockTicksPerSecond   = 100
)

// streamTimes are the times of one streamed answer.
type streamTimes struct {
	first time.Duration   // from the request to the first event
	gaps  []time.Duration // between events
	whole bool            // whether the stream has its terminal event
}

// BenchmarkOverhead compares streams through one instance with direct streams from
// the same engines, in the same run, and reports the CPU time of the instance. It
// ignores b.N and runs one round.
func BenchmarkOverhead(b *testing.B) {
	c := newCluster(b, 1, demo.Options{BetweenTokens: loadBetweenTokens, AnswerTokens: loadTokensPerAnswer})
	var engines []string
	for _, e := range c.backends.Engines {
		if e.Model() == "roster-8b" {
			engines = append(engines, "http://"+e.Address())
		}
	}
	direct := load(engines, "")
	before := c.processes[0].cpuTime(b)
	started := time.Now()
	routed := load([]string{"http://" + c.processes[0].callers}, c.keys["suva-swimming"])
	cores := (c.processes[0].cpuTime(b) - before).Seconds() / time.Since(started).Seconds()
	report(b, "first", firsts(direct), firsts(routed))
	report(b, "between", gaps(direct), gaps(routed))
	b.ReportMetric(cores, "cores")
	b.ReportMetric(float64(len(gaps(routed)))/loadSeconds, "events/s")
	b.ReportMetric(wholeShare(routed), "whole")
	b.ReportMetric(0, "ns/op")
}

// load requests streams at a fixed rate and waits until all of them have ended.
func load(bases []string, key string) []streamTimes {
	times := make([]streamTimes, loadRequestsPerSecond*loadSeconds)
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Second / loadRequestsPerSecond)
	defer ticker.Stop()
	for n := range times {
		<-ticker.C
		running.Go(func() { times[n] = stream(bases[n%len(bases)], key, n) })
	}
	running.Wait()
	return times
}

func stream(base, key string, n int) streamTimes {
	body := fmt.Sprintf(`{"model":"roster-8b","stream":true,"messages":[{"role":"user","content":"roster %d"}]}`, n)
	r, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return streamTimes{}
	}
	r.Header.Set("Hawthornwick-Attempt", strconv.Itoa(n))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	started := time.Now()
	answer, err := loadClient.Do(r)
	if err != nil {
		return streamTimes{}
	}
	defer func() { _ = answer.Body.Close() }()
	var t streamTimes
	lines := bufio.NewScanner(answer.Body)
	last := started
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "data: ") {
			continue
		}
		now := time.Now()
		if t.first == 0 {
			t.first = now.Sub(started)
		} else {
			t.gaps = append(t.gaps, now.Sub(last))
		}
		last = now
		t.whole = t.whole || lines.Text() == "data: [DONE]"
	}
	return t
}

var loadClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func firsts(all []streamTimes) []time.Duration {
	var list []time.Duration
	for _, t := range all {
		if t.first > 0 {
			list = append(list, t.first)
		}
	}
	return list
}

func gaps(all []streamTimes) []time.Duration {
	var list []time.Duration
	for _, t := range all {
		list = append(list, t.gaps...)
	}
	return list
}

func wholeShare(all []streamTimes) float64 {
	whole := 0
	for _, t := range all {
		if t.whole {
			whole++
		}
	}
	return float64(whole) / float64(len(all))
}

// report reports the differences between the quantiles of routed and direct streams,
// in milliseconds.
func report(b *testing.B, name string, direct, routed []time.Duration) {
	for _, q := range []float64{0.5, 0.99} {
		added := quantile(routed, q) - quantile(direct, q)
		b.ReportMetric(added.Seconds()*1000, fmt.Sprintf("ms-added-%s-p%.0f", name, q*100))
	}
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(q*float64(len(sorted)-1))]
}

// cpuTime returns the user and system CPU time of the process.
func (p *process) cpuTime(t testing.TB) time.Duration {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}
