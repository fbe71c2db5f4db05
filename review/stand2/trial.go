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

// Parts of prompts, in hexadecimal.
const (
	deskPart = "5c1e07a2" // of all prompts of the route
	oldMeet  = "91bd3f06"
	newMeet  = "a17c44e0"
	badPart  = "e4402b7d" // crashes each server that begins to write an answer on it
)

const (
	contact      = 3 * time.Second // timing_bounds.contact_ms
	modelServers = 8
	trialPieces  = 25
	trialPause   = 40 * time.Millisecond
	trialTime    = 12 * time.Second // X-Deadline-Ms
)

// trialWorld is what the servers and clients of this case share.
type trialWorld struct {
	*world
	mu        sync.Mutex
	began     map[string]bool // attempts that a server began to run
	crashes   []time.Time     // by the bad part
	unrelated atomic.Bool     // the unrelated crash has happened
	soundRuns atomic.Int64    // of requests with the new meet
	serial    int
}

// crashesByPart is false with TROUBLE=0.
func crashesByPart() bool { return trouble }

// crashesUnrelated is false with TROUBLE=0, and with TROUBLE=part, which leaves out the unrelated
// crash only.
func crashesUnrelated() bool { return trouble && os.Getenv("TROUBLE") != "part" }

// run is a model server's answer.
func (t *trialWorld) run(s *server, rw http.ResponseWriter, r *http.Request) {
	parts, attempt := r.Header.Get("X-Prefix-Hash"), r.Header.Get("X-Attempt-Id")
	_ = readBody(r)
	t.mu.Lock()
	t.began[attempt] = true
	t.mu.Unlock()
	if strings.Contains(parts, badPart) {
		time.Sleep(60 * time.Millisecond)
		t.mu.Lock()
		t.crashes = append(t.crashes, time.Now())
		t.mu.Unlock()
		s.crash("it begins to write an answer on the bad part, " + attempt)
		return
	}
	if strings.Contains(parts, newMeet) {
		t.record("server %s begins %s, sound, with the new meet", s.id, attempt)
		if t.soundRuns.Add(1) == 1 && crashesUnrelated() {
			time.AfterFunc(trialPieces/3*trialPause, func() {
				t.unrelated.Store(true)
				s.crash("for a reason of its own (srv_crash)")
			})
		}
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= trialPieces; n++ {
		time.Sleep(trialPause)
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
	}
}

// ask sends a request with these parts before its own one, and, if it is bad, the retry of its
// client at the other instance.
func (t *trialWorld) ask(parts string, bad bool, asked func(sentAt time.Time, attempt string)) {
	t.serial++
	n := t.serial
	go func() {
		for try := range 2 {
			i := t.instances[(n+try)%len(t.instances)]
			attempt := fmt.Sprintf("rotulo-%d-%d", n, try)
			sentAt := time.Now()
			if try == 0 && asked != nil {
				asked(sentAt, attempt)
			}
			status, events, err := t.send(i, attempt, fmt.Sprintf("%s,%x:250", parts, 0x10000+n))
			t.record("client sent %s (%s) to %s: status %d, %d events, error %v", attempt, parts, i.name, status, events, err)
			if !bad || status == http.StatusOK && err == nil {
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	}()
}

func (t *trialWorld) send(i *instance, attempt, prefix string) (status, events int, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+i.ingress+"/rotulo/2f", strings.NewReader("label "+attempt))
	if err != nil {
		return 0, 0, err
	}
	r.Host, r.Close = host, true
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(trialTime.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("X-Model-Id", "m")
	r.Header.Set("X-Token-Usage", "4000,100")
	r.Header.Set("X-Prefix-Hash", prefix)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer.StatusCode, len(pieceID.FindAllString(string(body), -1)), err
}

// asked is a sound request: when its first attempt was sent, and its id.
type asked struct {
	at      time.Time
	attempt string
}

// runTrial: requests about a new meet that hold a bad part crash servers. Then sound ones about it
// come, and the server that runs the first of them crashes for a reason of its own.
func runTrial(w *world) (int, error) {
	t := &trialWorld{world: w, began: map[string]bool{}}
	for n := range modelServers {
		if _, err := w.addServer(fmt.Sprintf("i-m%d", n), zoneName, modelName, modelSlots, nil, t.run); err != nil {
			return 0, err
		}
	}
	if err := w.startApp(w.shortAnswer); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var sound []asked
	note := func(at time.Time, attempt string) {
		mu.Lock()
		defer mu.Unlock()
		sound = append(sound, asked{at, attempt})
	}
	old := deskPart + ":350," + oldMeet + ":2800"
	fresh := deskPart + ":350," + newMeet + ":2800"
	bad := deskPart + ":350," + badPart + ":600," + newMeet + ":2800"
	phase := func(length time.Duration, soundParts string, withBad bool) {
		for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
			if soundParts != "" {
				t.ask(soundParts, false, note)
			}
			if withBad && crashesByPart() && n%10 == 0 {
				t.ask(bad, true, nil)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	phase(8*time.Second, old, false)
	calmEnd := time.Now()
	w.record("the first requests about the new meet come")
	phase(10*time.Second, old, true)
	w.record("no more requests about the old meet come")
	phase(3*time.Second, "", true)
	w.record("sound requests about the new meet come")
	phase(40*time.Second, fresh, true)
	time.Sleep(2 * time.Second)
	t.mu.Lock()
	defer t.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	from := calmEnd
	for n, at := range t.crashes {
		if n < 5 {
			from = at.Add(2 * contact)
		}
	}
	var calmAsked, calmBegan, laterAsked, laterBegan int
	for _, a := range sound {
		switch {
		case a.at.Before(calmEnd):
			calmAsked++
			if t.began[a.attempt] {
				calmBegan++
			}
		case !a.at.Before(from):
			laterAsked++
			if t.began[a.attempt] {
				laterBegan++
			}
		}
	}
	w.record("%d crashes by the part, one for another reason: %t; sound requests that began at the first attempt: %d of %d before, %d of %d from %.1f s on",
		len(t.crashes), t.unrelated.Load(), calmBegan, calmAsked, laterBegan, laterAsked, from.Sub(w.began).Seconds())
	switch {
	case calmAsked < 20 || laterAsked < 20 || calmBegan == 0:
		return 0, fmt.Errorf("too few requests")
	case laterBegan*calmAsked*2 < calmBegan*laterAsked:
		return broken, nil
	}
	return held, nil
}
