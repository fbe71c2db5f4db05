package enginewatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

func TestDigestRoundTrip(t *testing.T) {
	is := is.New(t)
	load := []loadRecord{
		{ID: 1, Epoch: 7, Stamp: 1_700_000_000_123, Age: 40 * time.Millisecond, Running: 5, Use: 1, Tokens: 900},
		{ID: 2, Epoch: 9, Stamp: 1_699_999_990_000, Age: 3 * time.Second, Waiting: 2, Cold: 4},
	}
	cache := []cacheRecord{{ID: 1, Epoch: 7, From: 3, To: 5, Clear: true, Stored: []uint64{11}, Evicted: []uint64{12}}}
	d := newDigest(time.UnixMilli(1_700_000_001_000), load, cache)
	body, err := d.encode()
	is.NoErr(err)
	back, err := decodeDigest(body)
	is.NoErr(err)
	is.Equal(back.loads(), load)
	is.Equal(back.Cache, cache)
	is.Equal(back.Sent, int64(1_700_000_001_000))
}

func TestDigestIgnoresUnknownFields(t *testing.T) {
	is := is.New(t)
	body, err := cbor.Marshal(map[int]any{1: 5, 2: []int{8}, 99: "new"})
	is.NoErr(err)
	d, err := decodeDigest(body)
	is.NoErr(err)
	is.Equal(d.loads(), []loadRecord{{ID: 8, Stamp: 5}})
}

func TestInvalidDigestRejected(t *testing.T) {
	is := is.New(t)
	for _, d := range []digest{
		{IDs: []serverID{1, 2}, Epochs: []uint64{1}},
		{Use: []byte{1}},
		{Cache: []cacheRecord{{From: 2, To: 1}}},
		{IDs: make([]serverID, maxRecords+1)},
	} {
		body, err := d.encode()
		is.NoErr(err)
		_, err = decodeDigest(body)
		is.True(err != nil)
	}
}

func FuzzDecodeDigest(f *testing.F) {
	d := newDigest(time.UnixMilli(5), []loadRecord{{ID: 1, Epoch: 2, Stamp: 3, Running: 4}}, []cacheRecord{{ID: 1, To: 2}})
	body, _ := d.encode()
	f.Add(body)
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := decodeDigest(data)
		if err != nil {
			return
		}
		core := newCore("a")
		core.setPlan(time.UnixMilli(0), NewPlan(testMembers(2, 1), testServers(2, 1, 1)), nil)
		core.applyDigest(time.UnixMilli(10), "b", &d)
	})
}

// The engine's clock may differ from the local one. The Date header bounds the
// error.
func TestReportAgeBoundedByDateHeader(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	const trip = 10 * time.Millisecond
	for _, c := range []struct {
		name  string
		ahead time.Duration // engine's clock
		true  time.Duration // age
		date  bool
		least time.Duration
		most  time.Duration
	}{
		{"clocks agree", 0, 300 * time.Millisecond, true, 300 * time.Millisecond, 300 * time.Millisecond},
		{"engine an hour ahead", time.Hour, 2500 * time.Millisecond, true, 1500 * time.Millisecond, 3500*time.Millisecond + trip},
		{"engine an hour behind", -time.Hour, 300 * time.Millisecond, true, 0, 1300*time.Millisecond + trip},
		{"no date", -time.Second, 300 * time.Millisecond, false, 1300 * time.Millisecond, 1300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			header := http.Header{}
			if c.date {
				header.Set("Date", now.Add(c.ahead).UTC().Format(http.TimeFormat))
			}
			age := reportAge(now, trip, now.Add(c.ahead-c.true).UnixMilli(), header)
			is.True(age >= c.least)
			is.True(age <= c.most)
		})
	}
}
