package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/soak"
)

// TestAbandonedRequestDoesNotArrive guards against a request that a backend server
// receives after its caller has left, because TCP held it back during a cut: the server
// may be leaving by then, the key may be withdrawn, or the request may have been repeated.
func TestAbandonedRequestDoesNotArrive(t *testing.T) {
	for name, path := range map[string]string{"idempotent, kept connection": "/safe/1", "not idempotent": "/once/1"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStack(t)
			s.addServer("0", answerWith(http.StatusOK, "ok"))
			link, err := soak.NewProxy(s.servers[0].Address)
			is.NoErr(err)
			defer link.Close()
			s.servers[0].Address = link.Address()
			s.balancer.SetServers(s.servers)
			is.Equal(s.call(http.MethodGet, path, "").status, http.StatusOK)

			link.SetHold(true)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			late := s.request(ctx, http.MethodGet, path, "")
			late.Header.Set(testAttempt, "late")
			is.True(s.do(late).truncated)
			for deadline := time.Now().Add(5 * time.Second); s.gateway.Active() > 0; time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(deadline))
			}
			time.Sleep(50 * time.Millisecond) // the link sees how the connection was closed
			link.SetHold(false)
			time.Sleep(200 * time.Millisecond)
			is.Equal(s.runCount("late"), int64(0))
		})
	}
}

// TestDeliveryLimit checks that a request with a key is not delivered later than the key
// is known to be valid.
func TestDeliveryLimit(t *testing.T) {
	for name, c := range map[string]struct {
		keyValid, want time.Duration
		withoutKey     bool
	}{
		"key valid for longer":      {keyValid: time.Minute, want: time.Second},
		"key valid for less":        {keyValid: 400 * time.Millisecond, want: 400 * time.Millisecond},
		"key without limit":         {want: time.Second},
		"request that needs no key": {keyValid: 400 * time.Millisecond, want: time.Second, withoutKey: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			source := &testSource{table: testTable(t, testTarget)}
			source.keysValidFor.Store(int64(c.keyValid))
			x := &exchange{gateway: &Gateway{options: Options{Source: source, Delivery: time.Second}}}
			if !c.withoutKey {
				x.organisation = source.table.KeyOwner(config.DigestKey("key"))
			}
			is.Equal(x.deliveryLimit(), c.want)
		})
	}
}
