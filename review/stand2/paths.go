package main

import (
	"fmt"
	"net/http"
	"sync"
)

// rawPaths are paths as clients send them that do not encode all characters, such as curl.
var rawPaths = []string{
	"/recolha/dep%2F12/crédito", "/recolha/tambor|7", "/recolha/lote{3}", "/recolha/a%2Fb^c", "/recolha/estação", `/recolha/x"y"`,
}

// encodedPath returns the proper form of a path.
func encodedPath(raw string) string {
	encoded := ""
	for _, b := range []byte(raw) {
		if b == '/' || b == '%' || b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' {
			encoded += string(rune(b))
			continue
		}
		encoded += fmt.Sprintf("%%%02X", b)
	}
	return encoded
}

// ran is what ran of one request.
type ran struct{ target, service string }

// runPaths: clients send paths with characters that they did not encode. What runs is to have the
// path that was sent, at the service whose prefix begins that path; a refusal is allowed.
func runPaths(w *world) (int, error) {
	var mu sync.Mutex
	runs := map[string]ran{}
	answerOf := func(service string) func(http.ResponseWriter, *http.Request) {
		return func(rw http.ResponseWriter, r *http.Request) {
			mu.Lock()
			runs[r.Header.Get("X-Attempt-Id")] = ran{r.RequestURI, service}
			mu.Unlock()
			w.shortAnswer(rw, r)
		}
	}
	if _, err := w.addServer("i-dep", zoneName, depotName, appSlots, answerOf(depotName), nil); err != nil {
		return 0, err
	}
	if err := w.startApp(answerOf(appName)); err != nil {
		return 0, err
	}
	changed, foreign, served := 0, 0, 0
	for n := range 10 * len(rawPaths) {
		sent := rawPaths[n%len(rawPaths)]
		if !trouble {
			sent = encodedPath(sent)
		}
		i := w.instances[n%len(w.instances)]
		attempt := fmt.Sprintf("path-%d", n)
		o := call(i.ingress, http.MethodPost, sent, attempt, "b")
		w.record("client sent %s, path %q, to %s: status %d, error %v", attempt, sent, i.name, o.status, o.err)
		mu.Lock()
		run, ok := runs[attempt]
		mu.Unlock()
		if o.status == http.StatusOK {
			served++
		}
		if ok && run.target != sent {
			changed++
			w.record("UNASKED: %s was sent with the path %q and ran with %q", attempt, sent, run.target)
		}
		if ok && run.service != appName {
			foreign++
			w.record("ROUTE: %s was sent with the path %q, which /recolha/ begins and /recolha/dep/ does not, and was run by %s", attempt, sent, run.service)
		}
	}
	w.record("%d requests, %d served, %d ran with another path, %d at another service", 10*len(rawPaths), served, changed, foreign)
	if changed+foreign > 0 {
		return broken, nil
	}
	if served == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	return held, nil
}
