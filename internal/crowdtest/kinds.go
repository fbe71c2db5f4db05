package crowdtest

import (
	"bytes"
	"fmt"
	"strings"
)

const (
	// legalHeadBytes is a head below the limit of 16,384 bytes; overLimitBytes is one above
	// every limit.
	legalHeadBytes = 15_000
	overLimitBytes = 64 << 10
	slowBytes      = 20 // bytes of a head that arrives one at a time
)

// head is the start of an HTTP/1 head after the method, with the key and the ID that tests
// of internal/edge ask for.
const head = "/x HTTP/1.1\r\nHost: test\r\nKey: key\r\nId: crowd\r\n"

// Kind is a kind of misbehaving client.
type Kind struct {
	Name string
	// Rounds is the number of writes on each connection. Zero means one.
	Rounds int
	// Text returns what a client sends in a round.
	Text func(client, round int) []byte
}

func (k Kind) rounds() int { return max(k.Rounds, 1) }

// Kinds returns all kinds of clients.
func Kinds() []Kind {
	get, post := "GET "+head, "POST "+head+"Transfer-Encoding: chunked\r\n\r\n"
	kinds := Basic()
	return append(kinds,
		always("complete head of many lines", get+distinctLines(legalHeadBytes)+"\r\n"),
		always("unfinished head of lines a:", get+strings.Repeat("a:\r\n", legalHeadBytes/4)),
		always("head over the limit", get+distinctLines(overLimitBytes)),
		Kind{Name: "head one byte at a time", Rounds: slowBytes, Text: func(_, round int) []byte { return []byte(get)[round : round+1] }},
		always("trailers without end", post+"0\r\n"+strings.Repeat("a:\r\n", overLimitBytes/4)),
		always("HTTP/2 unfinished header block", http2Start+http2Headers(1, false)),
		always("HTTP/2 streams, tables and resets", http2Start+http2Streams()),
	)
}

// Basic returns the kinds that every listener is tested with.
func Basic() []Kind {
	return []Kind{
		always("silent", ""),
		always("unfinished head of distinct lines", "GET "+head+distinctLines(legalHeadBytes)),
		always("empty lines", strings.Repeat("\r\n", overLimitBytes/2)),
		always("chunk extensions without end", "POST "+head+"Transfer-Encoding: chunked\r\n\r\n1;"+strings.Repeat("a", overLimitBytes)),
	}
}

func always(name, text string) Kind {
	return Kind{Name: name, Text: func(int, int) []byte { return []byte(text) }}
}

// distinctLines returns header lines with short names, each of which occurs once.
func distinctLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

const (
	http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	// http2Start also states a large header table (setting 1), which the server may use.
	http2Start      = http2Preface + "\x00\x00\x06\x04\x00\x00\x00\x00\x00" + "\x00\x01\x00\x10\x00\x00"
	http2EndHeaders = 0x4
	http2Resets     = 200
)

// http2Frame returns a frame of up to 16 KiB.
func http2Frame(kind, flags byte, stream uint32, payload string) string {
	n := len(payload)
	head := []byte{byte(n >> 16), byte(n >> 8), byte(n), kind, flags, byte(stream >> 24), byte(stream >> 16), byte(stream >> 8), byte(stream)}
	return string(head) + payload
}

// http2Headers returns a HEADERS frame of a POST with many fields that enter the header
// table. An unfinished one promises a continuation.
func http2Headers(stream uint32, finished bool) string {
	var b bytes.Buffer
	b.WriteString("\x83\x86\x84\x41\x04test") // POST, http, /, :authority
	for i := range 300 {
		name := fmt.Sprintf("n%d-%d", stream, i)
		b.WriteByte(0x40)
		b.WriteByte(byte(len(name)))
		b.WriteString(name)
		b.WriteString("\x01v")
	}
	flags := byte(0)
	if finished {
		flags = http2EndHeaders
	}
	return http2Frame(1, flags, stream, b.String())
}

// http2Streams opens streams and resets every second one.
func http2Streams() string {
	var b strings.Builder
	for i := range http2Resets {
		stream := uint32(2*i + 1)
		b.WriteString(http2Headers(stream, true))
		if i%2 == 0 {
			b.WriteString(http2Frame(3, 0, stream, "\x00\x00\x00\x08"))
		}
	}
	return b.String()
}
