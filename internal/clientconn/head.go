package clientconn

import "bytes"

// headScanner finds the end of an HTTP/1 head in the bytes of a connection. It is no parser:
// it only counts bytes and lines up to the first empty line after another line.
type headScanner struct {
	bytes, lines int  // of this head, empty lines before it included
	line         int  // bytes of the current line
	cr           bool // the current line began with a carriage return
	begun        bool // a line that is not empty has ended
	done         bool
}

// feed takes the next bytes. Bytes after the end of the head are not counted.
func (s *headScanner) feed(p []byte) {
	for len(p) > 0 && !s.done {
		end := bytes.IndexByte(p, '\n')
		if s.line == 0 {
			s.cr = p[0] == '\r'
		}
		if end < 0 {
			s.line += len(p)
			s.bytes += len(p)
			return
		}
		s.line += end
		s.bytes += end + 1
		s.endLine()
		p = p[end+1:]
	}
}

func (s *headScanner) endLine() {
	empty := s.line == 0 || s.line == 1 && s.cr
	s.lines++
	s.done = empty && s.begun
	s.begun = s.begun || !empty
	s.line = 0
}
