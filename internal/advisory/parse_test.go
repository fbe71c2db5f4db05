package advisory

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testFields = Fields{Leaving: "Leaving", RateLimit: "Limit"}

const day = "Sat, 05 Dec 2026 10:00:00 GMT"

func TestParseRetryAfter(t *testing.T) {
	noon := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	for value, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.25": 250 * time.Millisecond, " 1.5 ": 1500 * time.Millisecond, "0": 0,
		"300": MaxPause, "300.5": MaxPause, "99999999999999999999999999999999": MaxPause,
		"": 0, "-1": 0, "+1": 0, "1e3": 0, "0x10": 0, "Inf": 0, "NaN": 0, "1_0": 0, ".": 0, "1.2.3": 0, "soon": 0,
		"999999999999999999999999999999999999999": 0,
		"Sat, 05 Dec 2026 10:00:03 GMT":           3 * time.Second, // counts from the answer's date
		"Sat, 05 Dec 2026 09:00:00 GMT":           0,
		"Sun, 06 Dec 2026 10:00:00 GMT":           MaxPause,
	} {
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			got, _ := ParseRetryAfter(value, day, noon)
			is.Equal(got, want)
		})
	}
	is := is.New(t)
	got, err := ParseRetryAfter("Sat, 05 Dec 2026 12:00:07 GMT", "", noon)
	is.NoErr(err)
	is.Equal(got, 7*time.Second) // without a date in the answer
}

func TestReadAdvisory(t *testing.T) {
	is := is.New(t)
	read := func(status int, h http.Header) Advisory { return Read(testFields, status, h, time.Time{}) }
	is.Equal(read(http.StatusOK, http.Header{}), Advisory{})
	is.Equal(read(http.StatusOK, http.Header{"Leaving": {"1"}, "Retry-After": {"3"}}), Advisory{Leaving: true})
	is.Equal(read(http.StatusOK, http.Header{"Leaving": {"0"}}), Advisory{})
	is.Equal(read(http.StatusServiceUnavailable, http.Header{"Leaving": {"0", "1"}, "Retry-After": {"3", "1"}}),
		Advisory{Leaving: true, Pause: 3 * time.Second})
}

func TestReadRateLimit(t *testing.T) {
	for value, want := range map[string]float64{
		"1": 1, "0.3": 0.3, " 2.50 ": 2.5, "0": MinRateLimit, "0.0001": MinRateLimit, "99999999999999999999": MaxRateLimit,
		"": 0, "-1": 0, "Inf": 0, "NaN": 0, "1e2": 0, "0x2": 0, "one": 0, "1,5": 0,
	} {
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Read(testFields, http.StatusOK, http.Header{"Limit": {value}}, time.Time{}).RateLimit, want)
		})
	}
	is := is.New(t)
	is.Equal(Read(testFields, http.StatusOK, http.Header{"Limit": {"3", "1", "x"}}, time.Time{}).RateLimit, 1.0)
}

func TestMalformedFieldReported(t *testing.T) {
	is := is.New(t)
	a := Read(testFields, http.StatusServiceUnavailable, http.Header{"Leaving": {"perhaps"}, "Retry-After": {"-3"}}, time.Time{})
	is.True(!a.Leaving && a.Pause == 0)
	var malformed *FieldError
	is.True(errors.As(a.Err, &malformed))
	is.Equal(malformed.Field, "Leaving") // the first one
}

// FuzzRead checks that no head can exclude a server for longer than MaxPause or for good.
func FuzzRead(f *testing.F) {
	f.Add("1", "1.5", day, "1")
	f.Add("true", "Sat, 05 Dec 2026 10:00:03 GMT", day, "0.3")
	f.Add("0", "-1", "", "-2")
	f.Add("x", "1e999", "y", "Inf")
	f.Fuzz(func(t *testing.T, leaving, retryAfter, date, limit string) {
		h := http.Header{"Leaving": {leaving}, "Retry-After": {retryAfter}, "Date": {date}, "Limit": {limit}}
		a := Read(testFields, http.StatusServiceUnavailable, h, time.Unix(0, 0))
		if a.Pause < 0 || a.Pause > MaxPause {
			t.Errorf("pause of %v for %q", a.Pause, retryAfter)
		}
		if a.RateLimit != 0 && !(a.RateLimit >= MinRateLimit && a.RateLimit <= MaxRateLimit) {
			t.Errorf("rate limit of %v for %q", a.RateLimit, limit)
		}
		if a.Err != nil && a.Err.Error() == "" {
			t.Error("error without a text")
		}
	})
}

// TestLeavingWithoutIncarnationEnds guards against a server that is excluded for good by
// what its predecessor at the same address has stated.
func TestLeavingWithoutIncarnationEnds(t *testing.T) {
	is := is.New(t)
	a := Advisory{Leaving: true, Pause: time.Second}.WithoutIncarnation()
	is.Equal(a, Advisory{Pause: leavingPause})
	is.Equal(Advisory{Pause: time.Second}.WithoutIncarnation(), Advisory{Pause: time.Second})
}
