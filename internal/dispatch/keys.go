package dispatch

import (
	"net/http"
	"net/url"
	"strings"
)

// keyHeaders are the header fields that can carry a caller's key.
var keyHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "X-Auth-Token"}

// keyNames are names of cookies and query parameters that can carry a key, in
// lower case and with hyphens in place of underscores.
var keyNames = map[string]bool{
	"api-key": true, "apikey": true, "x-api-key": true, "key": true, "token": true,
	"access-token": true, "auth": true, "auth-token": true, "authorization": true,
	"bearer": true, "x-auth-token": true,
}

func isKeyName(name string) bool {
	return keyNames[strings.ReplaceAll(strings.ToLower(strings.TrimSpace(name)), "_", "-")]
}

// StripKeys removes callers' keys from header fields, cookies and query
// parameters. Either argument may be nil.
func StripKeys(h http.Header, query url.Values) {
	for name := range h {
		if isKeyHeader(name) {
			delete(h, name)
		}
	}
	stripCookies(h)
	for name := range query {
		if isKeyName(name) {
			delete(query, name)
		}
	}
}

func isKeyHeader(name string) bool {
	for _, key := range keyHeaders {
		if strings.EqualFold(name, key) {
			return true
		}
	}
	return false
}

// stripCookies keeps the cookies that carry no key, each as it was written.
func stripCookies(h http.Header) {
	for name, lines := range h {
		if !strings.EqualFold(name, "Cookie") {
			continue
		}
		kept := keptCookies(lines)
		if len(kept) == 0 {
			delete(h, name)
			continue
		}
		h[name] = []string{strings.Join(kept, "; ")}
	}
}

func keptCookies(lines []string) []string {
	var kept []string
	for _, line := range lines {
		for part := range strings.SplitSeq(line, ";") {
			part = strings.TrimSpace(part)
			name, _, _ := strings.Cut(part, "=")
			if part != "" && !isKeyName(name) {
				kept = append(kept, part)
			}
		}
	}
	return kept
}

// stripQuery removes key parameters from a raw query. A query without any is
// returned as it was; one that can't be parsed keeps only what can.
func stripQuery(raw string) string {
	if raw == "" {
		return ""
	}
	query, err := url.ParseQuery(raw)
	before := len(query)
	StripKeys(nil, query)
	if err == nil && len(query) == before {
		return raw
	}
	return query.Encode()
}
