package dispatch

import (
	"net/http"
	"net/url"
	"strings"
)

// keyHeaders are the header fields that can carry a caller's key.
var keyHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "X-Auth-Token"}

// keyNames are the names of cookies and query parameters that can carry a key,
// in lower case and with hyphens in place of underscores.
var keyNames = map[string]bool{
	"api-key": true, "apikey": true, "x-api-key": true, "key": true, "token": true,
	"access-token": true, "auth": true, "auth-token": true, "authorization": true,
	"bearer": true, "x-auth-token": true,
}

func isKeyName(name string) bool {
	return keyNames[strings.ReplaceAll(strings.ToLower(strings.TrimSpace(name)), "_", "-")]
}

// StripKeys deletes header fields, cookies and query parameters that can carry
// a caller's key. Either argument may be nil.
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

// stripCookies removes cookies that can carry a key and leaves the others as
// they were written.
func stripCookies(h http.Header) {
	for name, lines := range h {
		if !strings.EqualFold(name, "Cookie") {
			continue
		}
		kept := filterCookies(lines)
		if len(kept) == 0 {
			delete(h, name)
			continue
		}
		h[name] = []string{strings.Join(kept, "; ")}
	}
}

func filterCookies(lines []string) []string {
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

// stripQuery removes key parameters from a raw query. A valid query without key
// parameters is returned unchanged. Of a malformed query, only the parts that
// parse are kept.
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
