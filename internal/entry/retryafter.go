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
	// RetryAfterMillisHeader is Retry-After in milliseconds. OpenAI client
	// libraries prefer it to the header in whole seconds.
	RetryAfterMillisHeader = "Retry-After-Ms"

	// minRetryAfter is the base delay if waiting helps but no delay is known.
	minRetryAfter = time.Second
	// minRetryJitter is the smallest jitter range. It covers several values of
	// a header in whole seconds.
	minRetryJitter = 3 * time.Second
)

// retryJitter adds random jitter to retry delays. It is safe for concurrent use.
type retryJitter struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newRetryJitter(seed uint64) *retryJitter {
	return &retryJitter{random: rand.New(rand.NewPCG(seed, seed))}
}

// delay returns a random delay in [base, base + max(base, minRetryJitter)).
func (s *retryJitter) delay(base time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return base + time.Duration(s.random.Int64N(int64(max(base, minRetryJitter))))
}

// retryAfter returns how long a caller should wait before a retry. Zero means
// that waiting does not help.
func (s *Server) retryAfter(e *result.Error) time.Duration {
	base := e.RetryAfter
	if base <= 0 && !e.Code.SendsRetryAfter() {
		return 0
	}
	return s.jitter.delay(max(base, minRetryAfter))
}

// setRetryAfter sets both headers, rounded up.
func setRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
	h.Set(RetryAfterMillisHeader, strconv.FormatInt(d.Milliseconds()+1, 10))
}
