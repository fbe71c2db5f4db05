package dispatch

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

const (
	benchStreamCount       = 100
	benchTokensPerSecond   = 150 // per stream
	benchTokensPerStream   = 300
	benchArrivalsPerSecond = 60
	maxLatencyNanos        = int64(10 * time.Second)
)

// timedEngine streams events whose content is the time at which they were
// written.
func timedEngine(tokens int, interval time.Duration) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(engineapi.AttemptHeader, r.Header.Get(engineapi.AttemptHeader))
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for i := range tokens {
			if i > 0 && interval > 0 {
				time.Sleep(interval)
			}
			_, _ = fmt.Fprintf(w, `data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":1700000000,"model":"m","choices":[{"index":0,"delta":{"content":"%d"},"finish_reason":null}]}`+"\n\n", time.Now().UnixNano())
			_ = control.Flush()
		}
		_, _ = w.Write([]byte(finishEvent + doneEvent))
	}))
}

// startRouter serves callers through a dispatcher that sends to the engine.
func startRouter(b *testing.B, engine *httptest.Server) *httptest.Server {
	d := newDispatcher(b, Options{})
	target := traffic.Target{Server: "e", Address: engine.Listener.Addr().String()}
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		c := modelCall(streamBody, &targetList{targets: []traffic.Target{target}})
		c.Header, c.Body = r.Header, body
		if out := d.Do(r.Context(), c, w); out.Err != nil {
			b.Error(out.Err)
		}
	}))
}

// latencies collects the latencies that callers measured.
type latencies struct {
	mu        sync.Mutex
	firstByte *hdrhistogram.Histogram
	event     *hdrhistogram.Histogram
	events    int
}

func newLatencies() *latencies {
	return &latencies{
		firstByte: hdrhistogram.New(1, maxLatencyNanos, 3), event: hdrhistogram.New(1, maxLatencyNanos, 3),
	}
}

var contentStart = []byte(`"content":"`)

// readStream reads one answer and records the age of each event on arrival.
func (l *latencies) readStream(b *testing.B, client *http.Client, url string) {
	started := time.Now()
	response, err := client.Post(url, "application/json", bytes.NewReader([]byte(streamBody)))
	if err != nil {
		b.Error(err)
		return
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	var ages []int64
	var first time.Duration
	for lines.Scan() {
		_, rest, ok := bytes.Cut(lines.Bytes(), contentStart)
		if !ok {
			continue
		}
		if first == 0 {
			first = time.Since(started)
		}
		digits, _, _ := bytes.Cut(rest, []byte(`"`))
		written, _ := strconv.ParseInt(string(digits), 10, 64)
		ages = append(ages, time.Now().UnixNano()-written)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.firstByte.RecordValue(int64(first))
	for _, age := range ages {
		_ = l.event.RecordValue(age)
	}
	l.events += len(ages)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// runLoad runs the streams, which start at even intervals, and returns the
// callers' latencies and the CPU time used by the whole process.
func runLoad(b *testing.B, url string) (*latencies, time.Duration) {
	l := newLatencies()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreamCount}}
	defer client.CloseIdleConnections()
	before := cpuTime()
	var wg sync.WaitGroup
	for range benchStreamCount {
		wg.Go(func() { l.readStream(b, client, url) })
		time.Sleep(time.Second / benchArrivalsPerSecond)
	}
	wg.Wait()
	return l, cpuTime() - before
}

// BenchmarkPacedStreams compares callers of the router with callers of the
// engine itself: 100 streams of 150 tokens per second, 60 arrivals per second.
// Run it with -benchtime=1x.
func BenchmarkPacedStreams(b *testing.B) {
	engine := timedEngine(benchTokensPerStream, time.Second/benchTokensPerSecond)
	defer engine.Close()
	router := startRouter(b, engine)
	defer router.Close()
	for b.Loop() {
		direct, directCPU := runLoad(b, engine.URL)
		through, throughCPU := runLoad(b, router.URL)
		report := func(name string, quantile float64, base, routed *hdrhistogram.Histogram) {
			added := routed.ValueAtQuantile(quantile) - base.ValueAtQuantile(quantile)
			b.ReportMetric(float64(added)/float64(time.Microsecond), name)
		}
		report("added-first-p50-µs", 50, direct.firstByte, through.firstByte)
		report("added-first-p99-µs", 99, direct.firstByte, through.firstByte)
		report("added-event-p50-µs", 50, direct.event, through.event)
		report("added-event-p99-µs", 99, direct.event, through.event)
		perToken := (throughCPU - directCPU) / time.Duration(through.events)
		b.ReportMetric(float64(perToken)/float64(time.Microsecond), "cpu-µs/token")
	}
}

// discardWriter is a caller that accepts every write without delay.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header         { return w.header }
func (w discardWriter) WriteHeader(int)             {}
func (w discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w discardWriter) Flush()                      {}

// BenchmarkStreamEvents relays events that are available without delay. Time
// and allocations are per event.
func BenchmarkStreamEvents(b *testing.B) {
	b.ReportAllocs()
	tokens := b.N
	event := `data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":1700000000,"model":"m","choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}` + "\n\n"
	body := io.MultiReader(&repeatReader{text: []byte(event), remaining: tokens}, bytes.NewReader([]byte(finishEvent+doneEvent)))
	x, a := newRelayFixture(b, io.NopCloser(body), discardWriter{make(http.Header)})
	b.ResetTimer()
	if err := x.relayStream(a); err != nil {
		b.Fatal(err)
	}
}

// repeatReader reads a text a given number of times.
type repeatReader struct {
	text      []byte
	offset    int
	remaining int
}

func (r *repeatReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.text[r.offset:])
	r.offset += n
	if r.offset == len(r.text) {
		r.offset = 0
		r.remaining--
	}
	return n, nil
}
