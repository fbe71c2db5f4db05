package guardconn

import (
	"errors"
	"io"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFoldedLines checks which answers have a folded line, however their bytes are divided
// into reads.
func TestFoldedLines(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		folded bool
	}{
		"plain":                   {"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", false},
		"blank":                   {"HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\nbody", true},
		"tab":                     {"HTTP/1.1 200 OK\r\nA: b\r\n\tC: d\r\n\r\nbody", true},
		"first field":             {"HTTP/1.1 200 OK\r\n A: b\r\n\r\nbody", true},
		"bare line feeds":         {"HTTP/1.1 200 OK\nA: b\n C: d\n\nbody", true},
		"in the body":             {"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody\r\n more", false},
		"body begins with blank":  {"HTTP/1.1 200 OK\r\nA: b\r\n\r\n body", false},
		"bare line feeds, body":   {"HTTP/1.1 200 OK\nA: b\n\n body", false},
		"before the final answer": {"HTTP/1.1 103 Early\r\nA: b\r\n C: d\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true},
		"after another head":      {"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n", true},
		"sound, informational":    {"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n body", false},
		"line of one blank":       {"HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\nbody", true},
	} {
		for _, size := range []int{1, 2, 3, len(test.answer)} {
			s := headScanner{}
			s.begin()
			folded := false
			for rest := test.answer; rest != ""; rest = rest[min(size, len(rest)):] {
				folded = folded || s.findFold([]byte(rest[:min(size, len(rest))]))
			}
			if folded != test.folded {
				t.Errorf("%s, reads of %d bytes: folded %t", name, size, folded)
			}
		}
	}
}

// TestFoldedLineOfLaterAnswer checks each answer on a kept connection, and no body.
func TestFoldedLineOfLaterAnswer(t *testing.T) {
	is := is.New(t)
	near, far := connect(t, time.Minute)
	buffer := make([]byte, 1<<10)
	_, err := io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na\r\n b\n")
	is.NoErr(err)
	_, err = near.Read(buffer)
	is.NoErr(err)
	NewPermit(func() Grant { return Allow(0) }).Attach(httptrace.GotConnInfo{Conn: near})
	_, err = io.WriteString(far, "HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n")
	is.NoErr(err)
	_, err = near.Read(buffer)
	is.True(errors.Is(err, ErrFoldedLine))
}
