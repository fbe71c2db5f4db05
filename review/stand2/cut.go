package main

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// cutServers of streamServers servers cut cutShare of their streams for cutTime: the
	// figures of `garble` on the sheet, share 0.35 and x 0.02 for 5.5 s.
	streamServers = 6
	cutServers    = 2
	cutEvery      = 50 // one of so many streams of such a server
	cutTime       = 5500 * time.Millisecond
	pieces        = 30
	pieceInterval = 10 * time.Millisecond
	streamClients = 60
)

var pieceID = regexp.MustCompile(`(?m)^id: (\d+)$`)

// runCut: servers that go on running end some of their streams, which have neither a length nor
// chunks, between two events. The route may be resumed. No stream may look complete without its
// last piece.
func runCut(w *world) (int, error) {
	var cutting atomic.Bool
	var streams, cut atomic.Int64
	for n := range streamServers {
		serve := func(rw http.ResponseWriter, r *http.Request) {
			upTo := pieces
			if n < cutServers && cutting.Load() && r.Header.Get("Last-Event-Id") == "" && streams.Add(1)%cutEvery == 0 {
				upTo = pieces / 3
				cut.Add(1)
				w.record("server i-m%d ends %s after piece %d of %d and runs on", n, r.Header.Get("X-Attempt-Id"), upTo, pieces)
			}
			sendPieces(rw, r, upTo)
		}
		if _, err := w.addServer(fmt.Sprintf("i-m%d", n), zoneName, modelName, modelSlots, serve, nil); err != nil {
			return 0, err
		}
	}
	if err := w.startApp(w.shortAnswer); err != nil {
		return 0, err
	}
	var whole, short, failed atomic.Int64
	var clients sync.WaitGroup
	began := time.Now()
	stop := began.Add(2*time.Second + cutTime + 2*time.Second)
	for n := range streamClients {
		clients.Go(func() {
			k := 0
			for ; time.Now().Before(stop); k++ {
				w.readStream(fmt.Sprintf("stream-%d-%d", n, k), n, &whole, &short, &failed)
			}
			w.record("client %d sent stream-%d-0 to stream-%d-%d, one after the other", n, n, n, k-1)
		})
	}
	time.Sleep(2 * time.Second)
	cutting.Store(trouble)
	time.Sleep(cutTime)
	cutting.Store(false)
	clients.Wait()
	for _, s := range w.servers[:streamServers] {
		w.record("server %s ran %d streams", s.id, s.runs.Load())
	}
	w.record("%d streams whole, %d ended as complete without their last piece, %d broken off or refused; servers cut %d", whole.Load(), short.Load(), failed.Load(), cut.Load())
	switch {
	case whole.Load() == 0 || trouble && cut.Load() == 0:
		return 0, fmt.Errorf("no stream was whole, or none was cut")
	case short.Load() > 0:
		return broken, nil
	}
	return held, nil
}

// sendPieces sends the pieces after Last-Event-Id with neither a length nor chunks.
func sendPieces(rw http.ResponseWriter, r *http.Request, upTo int) {
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Transfer-Encoding", "identity") // net/http then writes neither a length nor chunks
	for n := after + 1; n <= upTo; n++ {
		time.Sleep(pieceInterval)
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
	}
}

// readStream sends one proper request for a stream and checks what comes.
func (w *world) readStream(attempt string, n int, whole, short, failed *atomic.Int64) {
	i := w.instances[n%len(w.instances)]
	r, err := http.NewRequest(http.MethodPost, "http://"+i.ingress+"/rotulo/"+attempt, strings.NewReader("a label"))
	if err != nil {
		failed.Add(1)
		return
	}
	r.Host = host
	r.Close = true
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Deadline-Ms", "12000")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		failed.Add(1)
		return
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	got := pieceID.FindAllStringSubmatch(string(body), -1)
	switch {
	case err != nil || answer.StatusCode != http.StatusOK:
		failed.Add(1)
		w.record("client got %d pieces of %s, status %d, and sees that it is broken off: %v", len(got), attempt, answer.StatusCode, err)
	case len(got) == pieces:
		whole.Add(1)
	default:
		short.Add(1)
		w.record("ORDER: client got %d of %d pieces of %s, status 200, signature %q, ended as complete (chunks: %t)", len(got), pieces, attempt,
			answer.Header.Get("X-Server-Signature"), len(answer.TransferEncoding) > 0)
	}
}
