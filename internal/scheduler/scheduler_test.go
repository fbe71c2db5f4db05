package scheduler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/platform"
	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// warmLimit is the number of slots of the only server.
const warmLimit = 2

func testConfig() *config.Snapshot {
	return config.NewSnapshot(1, "", config.Config{
		Organisations: []config.Organisation{{Name: "club"}},
		Classes: []config.Class{
			{Name: "status", Tier: 1, FirstToken: config.Duration(time.Second)},
			{Name: "draft", Tier: 5},
		},
		Models: []config.Model{{Name: "m", Class: "draft", WarmLimit: warmLimit}},
		Zones:  []config.Zone{{Name: "a"}},
	}, nil, nil)
}

// newWarmScheduler returns a scheduler whose only server, s1, has reached its
// warm limit. It must run in a synctest bubble.
func newWarmScheduler() *Scheduler {
	s := New(Options{Instance: "i1", Zone: "a"})
	s.SetConfig(testConfig())
	s.SetMembers([]string{"i1"}, time.Now())
	s.SetServers([]platform.Server{{
		Name: "s1", Address: "127.0.0.1:1", Zone: "a", Model: "m", Epoch: 1, State: platform.ServerRunning,
	}})
	for range 4 {
		time.Sleep(time.Second)
		s.LoadReport("s1", engineapi.LoadReport{Epoch: 1, UnixMillis: time.Now().UnixMilli()})
	}
	return s
}

func request(s *Scheduler, class string) *traffic.Request {
	return &traffic.Request{
		ID: "r", Organisation: "club", Class: testConfig().Class(class), Pool: "m",
		Idempotent: true, Arrived: time.Now(), Gate: &result.Gate{},
	}
}

func TestWaitingRequestStartsOnFreedSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newWarmScheduler()
		var tickets []traffic.Ticket
		for range warmLimit {
			ticket, refusal := s.Admit(t.Context(), request(s, "draft"))
			is.True(refusal == nil)
			tickets = append(tickets, ticket)
		}
		admitted := false
		go func() {
			ticket, refusal := s.Admit(t.Context(), request(s, "draft"))
			admitted = refusal == nil
			ticket.Done()
		}()
		synctest.Wait()
		is.True(!admitted) // both slots are in use
		tickets[0].Observe(traffic.Observation{Target: tickets[0].First(), Complete: true})
		synctest.Wait()
		is.True(admitted)
		tickets[0].Done()
		tickets[1].Done()
		is.Equal(s.Status().Pools[0].InFlight, 0)
	})
}

func TestWithdrawnKeyEndsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newWarmScheduler()
		for range warmLimit {
			_, refusal := s.Admit(t.Context(), request(s, "draft"))
			is.True(refusal == nil)
		}
		r := request(s, "draft")
		r.Key = "digest"
		var refusal *result.Error
		go func() { _, refusal = s.Admit(t.Context(), r) }()
		synctest.Wait()
		s.Withdraw("digest")
		synctest.Wait()
		is.Equal(refusal.Code, result.KeyWithdrawn)
		is.True(refusal.NotRun())
		is.True(!r.Gate.Open()) // the request can no longer be sent
	})
}

func TestCallerGoneWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newWarmScheduler()
		for range warmLimit {
			_, refusal := s.Admit(t.Context(), request(s, "draft"))
			is.True(refusal == nil)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var refusal *result.Error
		go func() { _, refusal = s.Admit(ctx, request(s, "draft")) }()
		synctest.Wait()
		cancel()
		synctest.Wait()
		is.Equal(refusal.Code, result.CallerGone)
		is.Equal(s.Status().Pools[0].Waiting, 0)
	})
}

func TestWaitEndsAtQueueLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newWarmScheduler()
		for range warmLimit {
			_, refusal := s.Admit(t.Context(), request(s, "draft"))
			is.True(refusal == nil)
		}
		began := time.Now()
		_, refusal := s.Admit(t.Context(), request(s, "draft"))
		is.Equal(refusal.Code, result.QueueTimeout)
		is.True(time.Since(began) <= config.DefaultDeadline+tickInterval)
	})
}

func TestRetryStaysWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newWarmScheduler()
		ticket, refusal := s.Admit(t.Context(), request(s, "draft"))
		is.True(refusal == nil)
		for range 4 {
			failure := traffic.Failure{Target: ticket.First(), Code: result.StreamBroken, Sent: true}
			ticket.Observe(traffic.Observation{Target: ticket.First(), Failure: &failure})
			_, refusal = ticket.Next(t.Context(), failure)
		}
		is.True(refusal != nil) // the only server is suspect and the retry budget is small
		ticket.Done()
	})
}

func TestConcurrentAdmitKeepsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newWarmScheduler()
		var mu sync.Mutex
		inFlight, peak := 0, 0
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				r := request(s, "draft")
				r.ID = fmt.Sprint(i)
				ticket, refusal := s.Admit(t.Context(), r)
				if refusal != nil {
					t.Errorf("request %d refused: %v", i, refusal)
					return
				}
				mu.Lock()
				inFlight++
				peak = max(peak, inFlight)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
				mu.Lock()
				inFlight--
				mu.Unlock()
				ticket.Observe(traffic.Observation{Target: ticket.First(), Complete: true, OutputTokens: 5})
				ticket.Done()
			})
		}
		wg.Wait()
		if peak != warmLimit {
			t.Errorf("%d requests in flight, limit %d", peak, warmLimit)
		}
	})
}
