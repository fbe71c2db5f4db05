package entry

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// minSecretBytes is the length from which a key is searched for in the other
// parts of its request. A shorter text would match by chance.
const minSecretBytes = 8

// redacted stands in log lines, events and results in the place of a key.
const redacted = "[key]"

// secret is the key that a request bears. The zero secret is found nowhere.
type secret string

func newSecret(h http.Header) secret {
	for _, line := range h.Values("Authorization") {
		if key, ok := bearerKey(line); ok && len(key) >= minSecretBytes {
			return secret(key)
		}
	}
	return ""
}

// in reports whether the text bears the key, plainly or escaped as in a URL.
func (s secret) in(text string) bool {
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

// header returns the header without the fields and cookies that bear the key.
// It returns the header itself when there are none.
func (s secret) header(h http.Header) http.Header {
	var bearing []string
	for name, lines := range h {
		if s.inAny(lines) {
			bearing = append(bearing, name)
		}
	}
	if len(bearing) == 0 {
		return h
	}
	kept := h.Clone()
	for _, name := range bearing {
		delete(kept, name)
	}
	if cookies := s.cookies(h["Cookie"]); len(cookies) > 0 {
		kept["Cookie"] = cookies
	}
	return kept
}

func (s secret) inAny(lines []string) bool {
	for _, line := range lines {
		if s.in(line) {
			return true
		}
	}
	return false
}

func (s secret) cookies(lines []string) []string {
	var kept []string
	for _, line := range lines {
		if line = s.without(line, ";"); line != "" {
			kept = append(kept, line)
		}
	}
	return kept
}

// query returns the raw query without the parameters that bear the key.
func (s secret) query(raw string) string {
	if !s.in(raw) {
		return raw
	}
	return s.without(raw, "&")
}

// without drops the parts of a list that bear the key.
func (s secret) without(list, separator string) string {
	var kept []string
	for part := range strings.SplitSeq(list, separator) {
		if !s.in(part) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, separator)
}

// refuseKeyInBody refuses a body that bears the key, because a backend server
// would see it.
func (x *exchange) refuseKeyInBody(body []byte) *result.Error {
	if x.secret == "" || !bytes.Contains(body, []byte(x.secret)) {
		return nil
	}
	return x.gate.Refuse(result.BadRequest, "the body bears the key; send it in the Authorization header only")
}
