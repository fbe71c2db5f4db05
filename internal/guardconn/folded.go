package guardconn

import "errors"

// ErrFoldedLine reports a line in the head of an answer that begins with a blank or a tab.
// net/http takes such a line for a part of the value before it, so that a field whose name
// begins with a blank would become part of another field. RFC 9112, section 5.2, lets a
// gateway discard such an answer.
var ErrFoldedLine = errors.New("the head of the answer has a line that begins with a blank")

// statusAt is the offset of the status in the first line of an answer.
const statusAt = len("HTTP/1.1 ")

// headScanner finds the heads in the bytes of an answer, informational ones included. The
// zero value waits for begin. It is not safe for concurrent use.
type headScanner struct {
	inHead        bool
	informational bool // another head follows
	firstLine     int  // bytes of it so far, at most statusAt+1
	empty         bool // nothing but a carriage return so far on the present line
}

// begin expects the first byte of an answer.
func (s *headScanner) begin() { *s = headScanner{inHead: true, empty: true} }

// findFold reports whether the next bytes hold a folded line of a head.
func (s *headScanner) findFold(p []byte) bool {
	for _, b := range p {
		if !s.inHead {
			return false
		}
		if s.firstLine == statusAt {
			s.informational = b == '1'
		}
		s.firstLine = min(s.firstLine+1, statusAt+1)
		switch {
		case b == '\n' && s.empty:
			s.endHead()
		case b == '\n':
			s.empty = true
		case s.empty && (b == ' ' || b == '\t'):
			return true
		case b != '\r':
			s.empty = false
		}
	}
	return false
}

func (s *headScanner) endHead() {
	if s.informational {
		s.begin()
		return
	}
	s.inHead = false
}
