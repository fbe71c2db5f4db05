package dispatch

import (
	"testing"

	"github.com/matryer/is"
)

// Decoding into a struct matches field names case-insensitively, but engines
// read them by exact case. The router must not treat "STREAM" as "stream".
func TestModelRequestFieldCase(t *testing.T) {
	is := is.New(t)
	m := parseModelRequest([]byte(`{"stream":false,"STREAM":true,"N":3}`))
	is.True(!m.stream)
	is.Equal(m.choices, 0)
	is.Equal(string(m.body), `{"stream":false,"STREAM":true,"N":3}`) // sent unchanged
}
