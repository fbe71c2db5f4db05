// Package httphead edits the header fields of requests and answers that the
// router forwards.
package httphead

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the header fields that apply to a single connection; see RFC 9110,
// section 7.6.1.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the hop-by-hop fields and those that the Connection field
// names.
func RemoveHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
