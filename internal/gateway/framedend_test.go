package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestFramedEndAtDeadline guards against a stream that its server cut short at the deadline and
// whose last chunk makes it look whole.
func TestFramedEndAtDeadline(t *testing.T) {
	for _, path := range []string{"/stream/x", "/plain-stream/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprint(w, events("1", "2"))
				_ = http.NewResponseController(w).Flush()
				untilDeadline(nil, r)
			})
			got := s.call(http.MethodPost, path, "ask", testLeft, "150")
			is.Equal(got.status, http.StatusOK)
			is.True(got.truncated)
		})
	}
}
