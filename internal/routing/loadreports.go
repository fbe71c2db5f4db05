package routing

import (
	"math"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

const (
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 2 * time.Second
	// cacheHeld and cacheLost bound a fall of cache use that tells of a lost cache.
	cacheHeld = 0.3
	cacheLost = 0.05
)

// loadView is the last load report of a server.
type loadView struct {
	measured  time.Time // by the server's clock, not after it arrived
	reported  int64     // UnixMillis as reported
	others    int       // requests in flight that are not this instance's
	cacheUse  float64
	haveValue bool
}

// take stores a report that is newer than the last; own is this instance's work
// in flight, which is known exactly and therefore not taken from reports.
func (v *loadView) take(now time.Time, r engineapi.LoadReport, own int) bool {
	if v.haveValue && r.UnixMillis < v.reported {
		return false
	}
	v.reported = r.UnixMillis
	v.measured = time.UnixMilli(r.UnixMillis)
	if v.measured.After(now) {
		v.measured = now
	}
	v.others = max(r.Running+r.Waiting-own, 0)
	v.cacheUse = r.CacheUse
	v.haveValue = true
	return true
}

// lostCache reports whether a new report shows that the cache was emptied.
func (v *loadView) lostCache(r engineapi.LoadReport) bool {
	return v.haveValue && r.UnixMillis >= v.reported && v.cacheUse >= cacheHeld && r.CacheUse <= cacheLost
}

// inFlight estimates the server's requests in flight: this instance's own plus
// those of others, which count less the older the report is.
func (v *loadView) inFlight(now time.Time, own int) float64 {
	if !v.haveValue || v.others == 0 {
		return float64(own)
	}
	age := max(now.Sub(v.measured), 0)
	weight := math.Exp2(-float64(age) / float64(reportHalfLife))
	return float64(own) + weight*float64(v.others)
}
