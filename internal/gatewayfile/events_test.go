package gatewayfile

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/eventstream"
)

// TestServersMayAddFields guards against a sound stream that is broken off because its events
// have fields of the server's own.
func TestServersMayAddFields(t *testing.T) {
	is := is.New(t)
	const first = "x-cost: 3\nid: 7\ndata: a\n\ndata: b\ntrace.id\n\n"
	r := eventstream.NewReader(strings.NewReader(first+"id: 6\ndata: c\n\n"), protocol{}.EventRules(), "")
	var passed strings.Builder
	var err error
	for err == nil {
		var e eventstream.Event
		e, err = r.Next()
		passed.Write(e.Bytes)
	}
	is.Equal(passed.String(), first)
	var invalid *eventstream.InvalidError // the id goes back
	is.True(errors.As(err, &invalid))
}
