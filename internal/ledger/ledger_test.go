package ledger

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/result"
	standin "github.com/hawthornwick/hawthornwick/internal/standin/platform"
)

var testKey = Key{Organisation: "club", IdempotencyKey: "k1"}

func newClaim(attempt string) Claim {
	return Claim{
		Key: testKey, Digest: RequestDigest("POST", "/fee", "", []byte("{}")), Attempt: attempt,
		Deadline: time.Now().Add(time.Minute), Gate: new(result.Gate),
	}
}

// ledgerPair is a simulated platform and the ledgers of two instances on it.
type ledgerPair struct {
	platform *standin.Platform
	a, b     *Ledger
}

func newLedgerPair(o Options) *ledgerPair {
	p := standin.New(standin.Options{})
	newLedger := func(name string) *Ledger {
		return New(p.Caller(name).Table(), p.Caller(name).Objects(), o)
	}
	return &ledgerPair{platform: p, a: newLedger("a"), b: newLedger("b")}
}

func (s *ledgerPair) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.a.Close(ctx)
	s.b.Close(ctx)
	s.platform.Close()
}

// A duplicate that arrives at another instance must wait and then receive the
// stored answer.
func TestDuplicateReplaysAnswer(t *testing.T) {
	for name, size := range map[string]int{"in the record": 10, "in the object store": defaultInlineBytes + 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newLedgerPair(Options{})
				defer s.close()
				first, refusal := s.a.Begin(t.Context(), newClaim("1"))
				is.True(refusal == nil)
				is.True(first.Owned != nil)
				second := make(chan Decision)
				go func() {
					d, _ := s.b.Begin(t.Context(), newClaim("2"))
					second <- d
				}()
				synctest.Wait() // the duplicate waits
				body := strings.Repeat("x", size)
				first.Owned.Complete(t.Context(), Answer{Status: 201, Header: http.Header{"Location": {"/fee/1"}}, Body: []byte(body)})
				d := <-second
				is.True(d.Owned == nil)
				w := httptest.NewRecorder()
				is.NoErr(d.Answer.Replay(w))
				is.Equal(w.Code, 201)
				is.Equal(w.Body.String(), body)
				is.Equal(w.Header().Get("Location"), "/fee/1")
				is.Equal(w.Header().Get(ReplayedHeader), "true")
			})
		})
	}
}

// The request that inserted the record may have run, so a duplicate must never
// be refused as not run.
func TestDuplicateNeverNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLedgerPair(Options{MaxWait: time.Second})
		defer s.close()
		_, refusal := s.a.Begin(t.Context(), newClaim("1"))
		is.True(refusal == nil)
		_, refusal = s.b.Begin(t.Context(), newClaim("2"))
		is.Equal(refusal.Code, result.AlreadyRunning)
		is.True(!refusal.NotRun())
		time.Sleep(2 * time.Minute) // the first instance crashed before or after dispatch
		_, refusal = s.b.Begin(t.Context(), newClaim("3"))
		is.Equal(refusal.Code, result.WillNotRunAgain)
		is.True(!refusal.NotRun())
	})
}

// A key that is reused with another body must be refused as not run.
func TestKeyReusedWithOtherBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLedgerPair(Options{})
		defer s.close()
		_, refusal := s.a.Begin(t.Context(), newClaim("1"))
		is.True(refusal == nil)
		other := newClaim("2")
		other.Digest = RequestDigest("POST", "/fee", "", []byte(`{"lane":2}`))
		_, refusal = s.b.Begin(t.Context(), other)
		is.Equal(refusal.Code, result.IdempotencyMismatch)
		is.True(refusal.NotRun())
		is.True(!other.Gate.Open())
	})
}

// If the insert of a record fails or its outcome stays unknown, the claim is
// refused as not run. The record must be removed even if the insert takes
// effect late, so that a retry can run.
func TestTableServiceOutage(t *testing.T) {
	for name, f := range map[string]standin.Fault{
		"down":        {Down: true},
		"lost reply":  {LoseReplies: -1},
		"late effect": {Delay: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newLedgerPair(Options{})
				defer s.close()
				s.platform.SetFault(standin.TableInterface, f)
				c := newClaim("1")
				_, refusal := s.a.Begin(t.Context(), c)
				is.Equal(refusal.Code, result.LedgerUnavailable)
				is.True(refusal.NotRun())
				is.True(!c.Gate.Open()) // nothing can be sent from now on
				s.platform.SetFault(standin.TableInterface, standin.Fault{})
				time.Sleep(2 * time.Minute)
				d, refusal := s.b.Begin(t.Context(), newClaim("2"))
				is.True(refusal == nil)
				is.True(d.Owned != nil) // a retry may run
			})
		})
	}
}

// An insert that took effect without a reply must be found by reading the
// record back; otherwise the request would be treated as its own duplicate.
func TestInsertReplyLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLedgerPair(Options{})
		defer s.close()
		s.platform.SetFault(standin.TableInterface, standin.Fault{LoseReplies: 1})
		d, refusal := s.a.Begin(t.Context(), newClaim("1"))
		is.True(refusal == nil)
		is.True(d.Owned != nil)
		d.Owned.Complete(t.Context(), Answer{Status: 200, Body: []byte("run-1")})
		again, refusal := s.b.Begin(t.Context(), newClaim("2"))
		is.True(refusal == nil)
		is.Equal(string(again.Answer.Body), "run-1")
	})
}

// An answer that cannot be stored during an outage must be stored afterwards,
// even if the reply of that write is lost.
func TestAnswerStoredAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLedgerPair(Options{})
		defer s.close()
		d, _ := s.a.Begin(t.Context(), newClaim("1"))
		s.platform.SetFault(standin.TableInterface, standin.Fault{Down: true})
		d.Owned.Complete(t.Context(), Answer{Status: 200, Body: []byte("run-1")})
		time.Sleep(30 * time.Second)
		s.platform.SetFault(standin.TableInterface, standin.Fault{LoseReplies: 1})
		again, refusal := s.b.Begin(t.Context(), newClaim("2"))
		is.True(refusal == nil)
		is.Equal(string(again.Answer.Body), "run-1")
	})
}

// Releasing a record allows the request to run again, so a release without a
// proof must count as a lost answer.
func TestReleaseRequiresProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLedgerPair(Options{})
		defer s.close()
		c := newClaim("1")
		d, _ := s.a.Begin(t.Context(), c)
		proof, ok := c.Gate.Seal()
		is.True(ok)
		d.Owned.Release(t.Context(), proof)
		d, refusal := s.b.Begin(t.Context(), newClaim("2"))
		is.True(refusal == nil)
		is.True(d.Owned != nil)
		d.Owned.Release(t.Context(), result.Proof{}) // not issued by a gate
		_, refusal = s.a.Begin(t.Context(), newClaim("3"))
		is.Equal(refusal.Code, result.WillNotRunAgain)
	})
}

// Sweep must delete expired records together with their answers in the object
// store. An attempt of a swept record must not overwrite the record of a later
// request.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLedgerPair(Options{InlineBytes: 1})
		defer s.close()
		d, _ := s.a.Begin(t.Context(), newClaim("1"))
		d.Owned.Complete(t.Context(), Answer{Status: 200, Body: []byte("large")})
		_, deleted, err := s.b.Sweep(t.Context(), "", 10)
		is.NoErr(err)
		is.Equal(deleted, 0)
		time.Sleep(Retention)
		_, deleted, err = s.b.Sweep(t.Context(), "", 10)
		is.NoErr(err)
		is.Equal(deleted, 1)
		names, err := s.platform.Caller("a").Objects().List(t.Context(), rowPrefix)
		is.NoErr(err)
		is.Equal(len(names), 0)
		is.True(d.Owned.SendBefore.Before(time.Now())) // the old attempt may no longer send

		newer, refusal := s.b.Begin(t.Context(), newClaim("2"))
		is.True(refusal == nil)
		newer.Owned.Complete(t.Context(), Answer{Status: 200, Body: []byte("newer")})
		d.Owned.Complete(t.Context(), Answer{Status: 200, Body: []byte("older")})
		again, refusal := s.b.Begin(t.Context(), newClaim("3"))
		is.True(refusal == nil)
		is.Equal(string(again.Answer.Body), "newer")
	})
}

// The table service sustains only several hundred writes per second, so the
// number of its operations per request must not grow.
func TestTableOperationsPerRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLedgerPair(Options{})
		defer s.close()
		c := newClaim("1")
		_, found, refusal := s.a.Find(t.Context(), c)
		is.True(!found && refusal == nil)
		d, _ := s.a.Begin(t.Context(), c)
		d.Owned.Complete(t.Context(), Answer{Status: 200})
		counts := s.platform.Counts("a", standin.TableInterface)
		is.Equal(counts.WriteRows, int64(2))
		is.Equal(counts.ReadRows, int64(1))
	})
}

// A request with a long deadline must not be sent after its record has expired,
// because a duplicate may run by then.
func TestSendWindowBelowRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLedgerPair(Options{})
		defer s.close()
		c := newClaim("1")
		c.Deadline = time.Now().Add(10 * Retention)
		d, _ := s.a.Begin(t.Context(), c)
		is.True(d.Owned.SendBefore.Before(time.Now().Add(Retention)))
	})
}

// An answer above MaxAnswerBytes must reach the caller unchanged but must not
// be stored. Header fields outside storedHeaders must not be stored.
func TestCaptureLimit(t *testing.T) {
	is := is.New(t)
	l := New(nil, nil, Options{MaxAnswerBytes: 4})
	w := httptest.NewRecorder()
	c := l.NewCapture(w)
	c.Header().Set("Etag", "e")
	c.Header().Set("Set-Cookie", "session")
	_, err := c.Write([]byte("1234"))
	is.NoErr(err)
	a, ok := c.Answer()
	is.True(ok)
	is.Equal(a.Header, http.Header{"Etag": {"e"}})
	_, err = c.Write([]byte("5"))
	is.NoErr(err)
	_, ok = c.Answer()
	is.True(!ok)
	is.Equal(w.Body.String(), "12345")
}
