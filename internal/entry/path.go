package entry

import (
	"net/http"
	"net/url"
	"strings"
)

// servicePathSegments is the number of path segments before the path that a
// plain service receives, including the empty one before the first slash.
const servicePathSegments = 3

// invalidPathReason returns why a request's path is refused; empty means it is
// valid. Ambiguous paths are refused instead of normalised, so that router and
// backend server never interpret a path differently.
func invalidPathReason(r *http.Request) string {
	path := r.URL.EscapedPath()
	if r.Method == http.MethodConnect || !strings.HasPrefix(path, "/") {
		return "the request names no path"
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		if segment == "" && i < len(segments)-1 {
			return "the path has an empty segment"
		}
		if isDotSegment(segment) {
			return "the path has a dot segment"
		}
	}
	return ""
}

// isDotSegment reports whether the escaped segment is "." or "..", or contains
// one after unescaping. Path parameters (";...") are ignored.
func isDotSegment(escaped string) bool {
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

// pathAfterService returns the part of an escaped path after the service's name.
func pathAfterService(path string) string {
	segments := strings.SplitN(path, "/", servicePathSegments+1)
	if len(segments) <= servicePathSegments {
		return "/"
	}
	return "/" + segments[servicePathSegments]
}
