package tablefeed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// call is one recorded call of a scripted feed.
type call struct {
	read  bool
	after string
	since uint64
	hold  time.Duration
}

// script is a feed that returns its answers in turn and then repeats the last one.
type script struct {
	mu      sync.Mutex
	answers []answer
	calls   []call
	done    chan struct{} // closed when the last answer is returned

	err      func() bool   // if set and true, calls fail immediately
	began    time.Time     // creation of the script
	failed   int           // number of calls that failed immediately
	answered time.Duration // from began to the first rare call
}

type answer struct {
	page  Page
	err   error
	delay time.Duration
}

func newScript(answers ...answer) *script {
	return &script{answers: answers, done: make(chan struct{}), began: time.Now()}
}

func (s *script) next(c call) (Page, error) {
	s.mu.Lock()
	if s.err != nil && s.err() {
		s.failed++
		s.mu.Unlock()
		return Page{}, errors.New("reset")
	}
	if s.answered == 0 {
		s.answered = time.Since(s.began)
	}
	a := s.answers[min(len(s.calls), len(s.answers)-1)]
	s.calls = append(s.calls, c)
	if len(s.calls) == len(s.answers) {
		close(s.done)
	}
	s.mu.Unlock()
	time.Sleep(a.delay)
	return a.page, a.err
}

func (s *script) Read(_ context.Context, after string) (Page, error) {
	return s.next(call{read: true, after: after})
}

func (s *script) Changes(_ context.Context, since uint64, hold time.Duration) (Page, error) {
	return s.next(call{since: since, hold: hold})
}

const hold = 50 * time.Millisecond

// follow runs a follower until the script has returned its last answer.
func follow(t *testing.T, s *script) (*Follower, []Update) {
	t.Helper()
	var updates []Update
	f := New(Options{
		Name: "test", Feed: s, Wait: func() time.Duration { return hold }, CallTimeout: time.Second, Pause: func() time.Duration { return time.Millisecond },
		Apply: func(u Update) { updates = append(updates, u) }, Recorder: timeline.Discard,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	<-s.done
	time.Sleep(20 * time.Millisecond)
	cancel()
	running.Wait()
	return f, updates
}

func TestNoWaitAfterFailure(t *testing.T) {
	is := is.New(t)
	s := newScript(
		answer{page: Page{Version: 7}},
		answer{err: errors.New("no answer")},
		answer{page: Page{Version: 8}},
		answer{page: Page{Version: 8}, delay: hold},
	)
	follow(t, s)
	is.Equal(s.calls[0], call{read: true})
	is.Equal(s.calls[1], call{since: 7, hold: hold})
	is.Equal(s.calls[2], call{since: 7}) // an immediate answer shows whether the store has recovered
	is.Equal(s.calls[3], call{since: 8, hold: hold})
}

func TestHistoryGoneReadsAllRows(t *testing.T) {
	is := is.New(t)
	rows := []Row{{Key: "a", Version: 9}}
	s := newScript(
		answer{page: Page{Version: 7}},
		answer{err: ErrHistoryGone},
		answer{page: Page{Rows: rows, Version: 9}},
		answer{page: Page{Version: 9}, delay: hold},
	)
	_, updates := follow(t, s)
	is.True(s.calls[2].read)
	is.Equal(len(updates), 2)
	is.True(updates[1].Full)
	is.Equal(s.calls[3].since, uint64(9))
}

// epochOne is the first version of the store's epoch 1.
const epochOne = uint64(1) << 40

// TestRestoreReadsAllRows guards against a follower that takes the numbers of a restored store
// for those of before, and for one that never reads again.
func TestRestoreReadsAllRows(t *testing.T) {
	is := is.New(t)
	rows := []Row{{Key: "a", Version: epochOne + 3}}
	s := newScript(
		answer{page: Page{Version: 7}},
		answer{err: ErrHistoryGone},
		answer{page: Page{Rows: rows, Version: epochOne + 3}},
		answer{page: Page{Version: 9}}, // late, of before the restore
		answer{page: Page{Version: epochOne + 3}, delay: hold},
	)
	_, updates := follow(t, s)
	is.Equal(len(updates), 3) // the last one ends the failure
	is.True(!updates[0].Restored)
	is.True(updates[1].Full && updates[1].Restored)
	is.True(!updates[2].Restored)
	is.Equal(s.calls[3].since, epochOne+3)
	is.Equal(s.calls[4].since, epochOne+3)
}

// TestRestoreBetweenPagesOfARead guards against rows that are put together from two histories.
func TestRestoreBetweenPagesOfARead(t *testing.T) {
	is := is.New(t)
	first, second := Row{Key: "a", Version: 5}, Row{Key: "b", Version: epochOne + 2}
	s := newScript(
		answer{page: Page{Rows: []Row{first}, Version: 7, More: true}},
		answer{page: Page{Rows: []Row{second}, Version: epochOne + 3}},
		answer{page: Page{Rows: []Row{{Key: "a", Version: epochOne + 1}, second}, Version: epochOne + 3}},
		answer{page: Page{Version: epochOne + 3}, delay: hold},
	)
	_, updates := follow(t, s)
	is.Equal(s.calls[1].after, "a")
	is.Equal(s.calls[2].after, "")
	is.Equal(len(updates[0].Rows), 2)
	is.Equal(updates[0].Rows[0].Version, epochOne+1)
}

// TestImmediateAnswerIsNotCurrentAfterWait guards against counting the wait of a call as
// time in which nothing changed, although the store did not wait.
func TestImmediateAnswerIsNotCurrentAfterWait(t *testing.T) {
	is := is.New(t)
	s := newScript(
		answer{page: Page{Version: 1}},
		answer{page: Page{Version: 1}}, // immediate, although the call allowed the store to wait
		answer{err: errors.New("no answer"), delay: 100 * time.Millisecond},
	)
	began := boottime.Now()
	f, _ := follow(t, s)
	is.True(!f.CurrentAsOf().IsZero())
	is.True(f.CurrentAsOf().Sub(began) < hold)
}

func TestChangesCurrentAsOfAnswer(t *testing.T) {
	is := is.New(t)
	f := New(Options{AnsweredAt: func(clock time.Duration, _ boottime.Instant) boottime.Instant {
		return boottime.Instant(clock) // the store's clock and the local one agree
	}})
	f.complete = true
	sent := boottime.Instant(time.Hour)
	changed := Page{Rows: []Row{{Key: "a"}}, Clock: time.Duration(sent.Add(900 * time.Millisecond))}
	arrived := sent.Add(902 * time.Millisecond)
	is.Equal(f.validAsOf(changed, sent, arrived, time.Second), sent.Add(900*time.Millisecond))
	changed.Clock += time.Minute // never later than it arrived
	is.Equal(f.validAsOf(changed, sent, arrived, time.Second), arrived)
	changed.Clock = 0 // never earlier than the call
	is.Equal(f.validAsOf(changed, sent, arrived, time.Second), sent)
}

func TestGapOnlyAfterFailedCalls(t *testing.T) {
	is := is.New(t)
	rows := []Row{{Key: "a"}}
	s := newScript(
		answer{page: Page{Version: 1}},
		answer{page: Page{Rows: rows, Version: 2}, delay: 2 * hold}, // slow, but answered
		answer{err: errors.New("no answer"), delay: hold},
		answer{page: Page{Version: 2}}, // recovered, and nothing has changed
		answer{page: Page{Rows: rows, Version: 3}},
	)
	_, updates := follow(t, s)
	is.True(len(updates) >= 4)
	is.Equal(updates[1].Gap, time.Duration(0))
	is.True(updates[2].Gap >= hold)
	is.Equal(updates[3].Gap, time.Duration(0))
}

// TestScanContinuesAfterFailedPage guards against a read of all rows that starts over
// after each failed page and never finishes under a rate limit.
func TestScanContinuesAfterFailedPage(t *testing.T) {
	is := is.New(t)
	s := newScript(
		answer{page: Page{Rows: []Row{{Key: "a"}, {Key: "b"}}, Version: 5, More: true}},
		answer{err: errors.New("rate limit exceeded")},
		answer{page: Page{Rows: []Row{{Key: "c"}}, Version: 8, More: true}},
		answer{err: errors.New("rate limit exceeded")},
		answer{page: Page{Rows: []Row{{Key: "d"}}, Version: 9}},
		answer{page: Page{Version: 9}, delay: hold},
	)
	f, updates := follow(t, s)
	after := []string{"", "b", "b", "c", "c"}
	for i, key := range after {
		is.Equal(s.calls[i], call{read: true, after: key})
	}
	is.Equal(s.calls[5].since, uint64(5)) // rows of later pages may have changed since the first
	is.Equal(len(updates[0].Rows), 4)
	is.True(updates[0].Full)
	is.True(!f.CurrentAsOf().IsZero())
}

// TestGapAfterScan guards against an outage that is not reported because the table was
// read again in several pages afterwards.
func TestGapAfterScan(t *testing.T) {
	is := is.New(t)
	var updates []Update
	f := New(Options{Recorder: timeline.Discard, Apply: func(u Update) { updates = append(updates, u) }})
	start := boottime.Now()
	f.apply(Page{}, start, 0)
	f.complete = false // the feed no longer holds the changes
	f.recordFailure(errors.New("no answer"))
	f.apply(Page{Rows: []Row{{Key: "a"}}, More: true}, start.Add(4*time.Second), 0)
	f.recordRecovery()
	f.apply(Page{Rows: []Row{{Key: "b"}}}, start.Add(5*time.Second), 0)
	is.Equal(updates[len(updates)-1].Gap, 4*time.Second)
}

func TestScanCurrentAsOfFirstPage(t *testing.T) {
	is := is.New(t)
	f := New(Options{Recorder: timeline.Discard, Apply: func(Update) {}})
	first := boottime.Now()
	f.apply(Page{Rows: []Row{{Key: "a"}}, More: true}, first, 0)
	is.True(f.CurrentAsOf().IsZero()) // the scan is not finished
	f.apply(Page{Rows: []Row{{Key: "b"}}}, first.Add(time.Second), 0)
	is.Equal(f.CurrentAsOf(), first)
}

// TestRetrySignal guards against many retries during an outage and against a late
// recovery after it. Every call fails immediately during the outage. One follower
// retries often; the other has a long backoff, which the first one's answer must end.
func TestRetrySignal(t *testing.T) {
	const outage = 8 * time.Second
	const longDelay = time.Minute
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		signal := NewRetrySignal()
		began := time.Now()
		failDuringOutage := func(s *script) { s.err = func() bool { return time.Since(began) < outage } }
		frequent, rare := newScript(answer{page: Page{Version: 1}, delay: hold}), newScript(answer{page: Page{Version: 1}, delay: hold})
		failDuringOutage(frequent)
		failDuringOutage(rare)
		ctx, cancel := context.WithTimeout(t.Context(), outage+2*time.Second)
		defer cancel()
		var running sync.WaitGroup
		for s, maxDelay := range map[*script]time.Duration{frequent: time.Second, rare: longDelay} {
			f := New(Options{
				Feed: s, Wait: func() time.Duration { return hold }, CallTimeout: time.Second, RetrySignal: signal,
				MaxRetryDelay: func() time.Duration { return maxDelay }, Apply: func(Update) {}, Recorder: timeline.Discard,
			})
			running.Go(func() { f.Run(ctx) })
			defer func() { is.True(!f.CurrentAsOf().IsZero()) }()
		}
		running.Wait()
		is.True(frequent.failed >= 7 && frequent.failed <= 14)
		is.True(rare.failed <= 6)
		is.True(rare.answered-frequent.answered < 100*time.Millisecond) // the frequent follower's answer ended its backoff
		is.True(frequent.answered-outage < 2*time.Second)
	})
}

func TestReadTimeout(t *testing.T) {
	is := is.New(t)
	f := New(Options{CallTimeout: time.Second, ReadTimeout: time.Minute, Wait: func() time.Duration { return hold }})
	is.Equal(f.callTimeout(0), time.Minute) // many pages
	f.complete = true
	is.Equal(f.callTimeout(hold), hold+time.Second)
}

// TestRestoreEndsPause guards against rows of before a restore that stay in force for a whole pause
// or wait, although another call has shown the restore.
func TestRestoreEndsPause(t *testing.T) {
	for name, held := range map[string]bool{"pause": false, "call": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first, second := newVersion(t, 1, 9), newVersion(t, 2, 3)
				s := &heldFeed{pages: []Page{{Version: first}, {Version: second}}, hold: held}
				f := New(Options{
					Name: "test", Feed: s, Wait: func() time.Duration { return time.Minute }, Pause: func() time.Duration { return time.Minute },
					CallTimeout: time.Second, Apply: func(Update) {}, Recorder: timeline.Discard,
				})
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { f.Run(ctx) })
				time.Sleep(70 * time.Second) // the call is held, or the second pause has begun
				is.Equal(f.Version(), first)
				began := time.Now()
				f.Restored()
				synctest.Wait()
				time.Sleep(maxRestoreJitter)
				synctest.Wait()
				is.Equal(f.Version(), second)
				is.True(time.Since(began) <= maxRestoreJitter)
				cancel()
				running.Wait()
			})
		})
	}
}

// heldFeed returns its pages to reads of all rows, and holds calls for changes or answers them at
// once.
type heldFeed struct {
	pages []Page
	hold  bool
}

func (h *heldFeed) Read(context.Context, string) (Page, error) {
	page := h.pages[0]
	h.pages = h.pages[1:]
	return page, nil
}

func (h *heldFeed) Changes(ctx context.Context, since uint64, hold time.Duration) (Page, error) {
	if h.hold {
		select {
		case <-ctx.Done():
			return Page{}, ctx.Err()
		case <-time.After(hold):
		}
	}
	return Page{Version: since}, nil
}

func newVersion(t *testing.T, epoch, number uint64) uint64 {
	t.Helper()
	v, err := platform.NewVersion(epoch, number)
	if err != nil {
		t.Fatal(err)
	}
	return v
}
