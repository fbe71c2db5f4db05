package entry

import (
	"net/http"
	"net/url"
	"strings"
)

// servicePrefixSegments is the number of path segments before the path that a
// plain service sees, the empty one before the first slash included.
const servicePrefixSegments = 3

// pathFault says why a request's path is not taken; empty when it is. Paths
// that name a place in more than one way are refused instead of rewritten, so
// that router and backend server never read them differently.
func pathFault(r *http.Request) string {
	path := r.URL.EscapedPath()
	if r.Method == http.MethodConnect || !strings.HasPrefix(path, "/") {
		return "the request names no path"
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		if segment == "" && i < len(segments)-1 {
			return "the path has an empty segment"
		}
		if dotSegment(segment) {
			return "the path has a dot segment"
		}
	}
	return ""
}

// dotSegment reports whether the escaped segment means this or the parent
// directory, or holds an escaped path that does. Path parameters don't count.
func dotSegment(escaped string) bool {
	segment, err := url.PathUnescape(escaped)
	if err != nil {
		return true
	}
	for part := range strings.FieldsFuncSeq(segment, func(r rune) bool { return r == '/' || r == '\\' }) {
		part, _, _ = strings.Cut(part, ";")
		if part == "." || part == ".." {
			return true
		}
	}
	return false
}

// afterService returns what follows the service's name in an escaped path.
func afterService(path string) string {
	segments := strings.SplitN(path, "/", servicePrefixSegments+1)
	if len(segments) <= servicePrefixSegments {
		return "/"
	}
	return "/" + segments[servicePrefixSegments]
}
