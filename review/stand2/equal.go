package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	fleetServers   = 18                     // model servers, as on the sheet
	letterPieces   = 13                     // events of a letter, as on the sheet
	letterPause    = 250 * time.Millisecond // between two events; the sheet allows as much
	letterTime     = 6 * time.Second        // X-Deadline-Ms
	soundEvery     = 250 * time.Millisecond
	equalOf        = 4 // all but one of so many sound requests are the equal one
	badEvery       = time.Second
	calmTime       = 10 * time.Second
	troubleTime    = 55 * time.Second
	templatePart   = "5c1e07a2" // the first part of all prompts of the route
	equalLetter    = "Thank the member for the returned drums."
	letterTarget   = "/carta/2f"
	letterTemplate = templatePart + ":2520,"
)

// letter is a sound request.
type letter struct {
	asked
	equal bool
}

// equalWorld is what the servers and clients of this case share.
type equalWorld struct {
	*world
	serial atomic.Int64

	mu      sync.Mutex
	began   map[string]bool // attempts that a server began to run
	letters []letter
	crashes []time.Time
}

// run is a model server's answer.
func (e *equalWorld) run(s *server, rw http.ResponseWriter, r *http.Request) {
	_ = readBody(r)
	attempt := r.Header.Get("X-Attempt-Id")
	e.mu.Lock()
	e.began[attempt] = true
	e.mu.Unlock()
	e.record("server %s begins %s", s.id, attempt)
	if strings.Contains(r.Header.Get("X-Prefix-Hash"), badPart) {
		time.Sleep(60 * time.Millisecond)
		e.mu.Lock()
		e.crashes = append(e.crashes, time.Now())
		e.mu.Unlock()
		s.crash("it begins to write an answer on the bad part, " + attempt)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= letterPieces; n++ {
		if n > 1 {
			time.Sleep(letterPause)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
	}
}

// ask sends one request. Its last part is its own. Its client repeats it at the other instance if it
// was turned away.
func (e *equalWorld) ask(what, body, sharedParts string, sound, equal bool) {
	n := int(e.serial.Add(1))
	for try := range 2 {
		i := e.instances[(n+try)%len(e.instances)]
		attempt := fmt.Sprintf("%s-%d-%d", what, n, try)
		if sound && try == 0 {
			e.mu.Lock()
			e.letters = append(e.letters, letter{asked{time.Now(), attempt}, equal})
			e.mu.Unlock()
		}
		status, events, err := e.send(i, attempt, body, fmt.Sprintf("%s%x:370", sharedParts, 0x10000+n))
		e.record("client sent %s to %s: status %d, %d events, error %v", attempt, i.name, status, events, err)
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func (e *equalWorld) send(i *instance, attempt, body, prefix string) (status, events int, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+i.ingress+letterTarget, strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	r.Host, r.Close = host, true
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(letterTime.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("X-Model-Id", "m")
	r.Header.Set("X-Token-Usage", "2890,52")
	r.Header.Set("X-Prefix-Hash", prefix)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return answer.StatusCode, len(pieceID.FindAllString(string(data), -1)), err
}

// equals is false with TROUBLE=unlike, which leaves the crashes and makes all sound requests differ.
func equals() bool { return os.Getenv("TROUBLE") != "unlike" }

// runEqual: most sound requests of a route are equal. Others with a bad part, no two alike, crash
// servers. Once the crashes have shown the part, the sound requests are to be served.
func runEqual(w *world) (int, error) {
	e := &equalWorld{world: w, began: map[string]bool{}}
	w.routes = []any{map[string]any{
		"name": "r-carta", "hostname": host, "prefix": "/carta/", "route_type": "streaming", "timeout_ms": 6000, "target_latency_ms": 1200,
		"target_itl_ms": 250, "priority": 1, "backend": modelName, "max_attempts": 1, "anonymous": false,
	}}
	for n := range fleetServers {
		if _, err := w.addServer(fmt.Sprintf("i-m%d", n), zoneName, modelName, modelSlots, nil, e.run); err != nil {
			return 0, err
		}
	}
	if err := w.startApp(w.shortAnswer); err != nil {
		return 0, err
	}
	go e.repeat(soundEvery, func(n int) {
		if n%equalOf == 0 || !equals() {
			e.ask("letter", fmt.Sprintf("Write to member %d.", n), letterTemplate, true, false)
			return
		}
		e.ask("equal", equalLetter, letterTemplate, true, true)
	})
	time.Sleep(calmTime)
	calmEnd := time.Now()
	if trouble {
		w.record("requests with the bad part come")
		go e.repeat(badEvery, func(n int) {
			e.ask("bad", fmt.Sprintf("Write to member %d about the bad matter.", n), letterTemplate+badPart+":600,", false, false)
		})
	}
	time.Sleep(troubleTime)
	return e.judge(calmEnd)
}

// judge applies the rule to what was sent before and after the requests with the bad part came.
func (e *equalWorld) judge(calmEnd time.Time) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	from := calmEnd
	for n, at := range e.crashes {
		if n < 5 {
			from = at.Add(2 * contact)
		}
	}
	var before, after, others share
	for _, l := range e.letters {
		switch began := e.began[l.attempt]; {
		case l.at.Before(calmEnd):
			before.add(began)
		case !l.at.Before(from):
			after.add(began)
			if !l.equal {
				others.add(began)
			}
		}
	}
	e.record("%d crashes; sound requests that began at the first attempt: %s before, %s from %.1f s on, of these %s that are not equal",
		len(e.crashes), before, after, from.Sub(e.world.began).Seconds(), others)
	switch {
	case before.asked < 20 || after.asked < 20 || before.began == 0:
		return 0, fmt.Errorf("too few requests")
	case after.began*before.asked*2 < before.began*after.asked:
		return broken, nil
	}
	return held, nil
}

// share is how many of some requests began.
type share struct{ began, asked int }

func (s *share) add(began bool) {
	s.asked++
	if began {
		s.began++
	}
}

// String implements fmt.Stringer.
func (s share) String() string { return fmt.Sprintf("%d of %d", s.began, s.asked) }

// repeat calls send at a steady rate until the world is closed.
func (e *equalWorld) repeat(every time.Duration, send func(n int)) {
	for n := 0; ; n++ {
		select {
		case <-e.done:
			return
		case <-time.After(every):
			go send(n)
		}
	}
}
