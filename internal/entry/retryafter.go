package entry

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

const (
	// RetryAfterMillisHeader is Retry-After in milliseconds, which OpenAI client
	// libraries prefer to the header in whole seconds.
	RetryAfterMillisHeader = "Retry-After-Ms"

	// leastRetryAfter is asked for where waiting helps and nothing says how long.
	leastRetryAfter = time.Second
	// leastRetrySpread is the smallest range that delays are spread over. It
	// covers several values of a header in whole seconds.
	leastRetrySpread = 3 * time.Second
)

// retrySpread spreads the callers that are told to come back over time.
type retrySpread struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newRetrySpread(seed uint64) *retrySpread {
	return &retrySpread{random: rand.New(rand.NewPCG(seed, seed))}
}

// delay returns a random delay from base to twice the base, or to base and
// leastRetrySpread if that is longer.
func (s *retrySpread) delay(base time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return base + time.Duration(s.random.Int64N(int64(max(base, leastRetrySpread))))
}

// retryAfter returns how long a caller should wait; zero where waiting does
// not help.
func (s *Server) retryAfter(e *result.Error) time.Duration {
	base := e.RetryAfter
	if base <= 0 && !e.Code.WaitingHelps() {
		return 0
	}
	return s.spread.delay(max(base, leastRetryAfter))
}

// setRetryAfter sets the delay in both units, rounded up.
func setRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
	h.Set(RetryAfterMillisHeader, strconv.FormatInt(d.Milliseconds()+1, 10))
}
