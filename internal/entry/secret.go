package entry

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// minSecretBytes is the minimum length of a key that is searched for in the other
// parts of its request. A shorter key would match by chance.
const minSecretBytes = 8

// redacted replaces a key in log lines, events and results.
const redacted = "[key]"

// secret is the key of a request. The zero value matches nothing.
type secret string

func newSecret(h http.Header) secret {
	for _, line := range h.Values("Authorization") {
		if key, ok := bearerKey(line); ok && len(key) >= minSecretBytes {
			return secret(key)
		}
	}
	return ""
}

// foundIn reports whether the text contains the key, plain or URL-escaped.
func (s secret) foundIn(text string) bool {
	if s == "" {
		return false
	}
	if strings.Contains(text, string(s)) {
		return true
	}
	plain, err := url.QueryUnescape(text)
	return err == nil && strings.Contains(plain, string(s))
}

// redact replaces the key in the text.
func (s secret) redact(text string) string {
	if s == "" {
		return text
	}
	return strings.ReplaceAll(text, string(s), redacted)
}

// stripHeader returns the header without the fields and cookies that contain the
// key. If there are none, it returns the header itself.
func (s secret) stripHeader(h http.Header) http.Header {
	var matching []string
	for name, lines := range h {
		if s.foundInAny(lines) {
			matching = append(matching, name)
		}
	}
	if len(matching) == 0 {
		return h
	}
	kept := h.Clone()
	for _, name := range matching {
		delete(kept, name)
	}
	if cookies := s.stripCookies(h["Cookie"]); len(cookies) > 0 {
		kept["Cookie"] = cookies
	}
	return kept
}

func (s secret) foundInAny(lines []string) bool {
	for _, line := range lines {
		if s.foundIn(line) {
			return true
		}
	}
	return false
}

func (s secret) stripCookies(lines []string) []string {
	var kept []string
	for _, line := range lines {
		if line = s.stripParts(line, ";"); line != "" {
			kept = append(kept, line)
		}
	}
	return kept
}

// stripQuery returns the raw query without the parameters that contain the key.
func (s secret) stripQuery(raw string) string {
	if !s.foundIn(raw) {
		return raw
	}
	return s.stripParts(raw, "&")
}

// stripParts removes the parts of a list that contain the key.
func (s secret) stripParts(list, separator string) string {
	var kept []string
	for part := range strings.SplitSeq(list, separator) {
		if !s.foundIn(part) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, separator)
}

// refuseKeyInBody refuses a body that contains the key, because a backend server
// would receive it.
func (x *exchange) refuseKeyInBody(body []byte) *result.Error {
	if x.secret == "" || !bytes.Contains(body, []byte(x.secret)) {
		return nil
	}
	return x.gate.Refuse(result.BadRequest, "the body bears the key; send it in the Authorization header only")
}
