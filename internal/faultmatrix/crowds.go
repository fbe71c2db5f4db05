package faultmatrix

import (
	"fmt"
	"strings"
)

// crowds are the kinds of untrusted clients that internal/crowdtest plays against each
// listener, and what ordinary callers and the clients themselves see.
var crowds = []struct{ clients, ordinary, themselves, test string }{
	{"send nothing, or a head one byte at a time", "the whole answer", "their connections are closed: those that held most for longest, the rest at the header timeout", "edge, operator"},
	{"send unfinished heads of very many short lines", "the whole answer", "their connections are closed", "edge, operator"},
	{"send complete heads of very many short lines", "the whole answer, or 503 (not run) while the heads of the others are served", "an answer, 503 (not run), or a closed connection", "edge"},
	{"send heads over the limit, or empty lines without end", "the whole answer", "431 or 400, then a closed connection", "edge, operator"},
	{"send chunk extensions or trailers without end", "the whole answer", "400 or a broken-off request", "edge, operator"},
	{"open many HTTP/2 streams, fill header tables and reset streams", "the whole answer", "503 (not run), or a closed connection", "edge"},
	{"never end a TLS handshake", "the whole answer", "their connections are closed", "clientconn"},
}

func writeCrowds(b *strings.Builder) {
	b.WriteString("\n## untrusted clients\n\nThe tests are TestCrowds... in `internal/edge` and `internal/operator`, and TestUnfinishedHandshakes\nin `internal/clientconn`.\n\n" +
		"| many clients | what ordinary users see | what the clients see | test |\n|---|---|---|---|\n")
	for _, c := range crowds {
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", c.clients, c.ordinary, c.themselves, c.test)
	}
}
