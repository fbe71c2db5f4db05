package quarantine

import (
	"strconv"
	"strings"
)

// Request identifies a request.
type Request struct {
	// Fingerprint is a digest of everything that determines what a backend server
	// executes. Equal requests have the same one. 0 means unknown.
	Fingerprint uint64
	// Parts identify the parts of the prompt that other requests may share, in their
	// order. Nil means that there are none, or that they are unknown.
	Parts []uint64
}

// parts returns the request's parts with their depths.
func (r Request) parts() []Part {
	parts := make([]Part, len(r.Parts))
	for depth, id := range r.Parts {
		parts[depth] = Part{ID: id, Depth: depth}
	}
	return parts
}

// formatID returns a fingerprint or the ID of a part as in events.
func formatID(id uint64) string { return strconv.FormatUint(id, 16) }

// formatIDs returns IDs of parts as in events, separated by commas.
func formatIDs(ids []uint64) string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = formatID(id)
	}
	return strings.Join(texts, ",")
}
