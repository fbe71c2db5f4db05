package gateway

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/knownred"
)

// TestCutByLiveServerGoesOnElsewhere guards against a resumable stream without framing that ends
// as complete because the server that cut it between two events still runs.
func TestCutByLiveServerGoesOnElsewhere(t *testing.T) {
	knownred.Skip(t)
	is := is.New(t)
	s := newTestStack(t)
	s.addEndingServer(&endingServer{id: "0", part: 2, endScript: endScript{identify: states("0", testStarted)}})
	s.addEndingServer(&endingServer{id: "1", part: testPieces, endScript: endScript{identify: states("1", testStarted)}})
	s.preferFirst()
	got := s.call(http.MethodPost, "/stream/x", "ask")
	is.True(!got.truncated)
	is.Equal(eventIDs(got.body), []string{"1", "2", "3", "4"})
}
