package routing

import (
	"math"
	"time"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

const (
	// reportHalfLife is the age at which a load report has half its weight.
	reportHalfLife = 2 * time.Second
	// A drop of cache use from at least minFilledCacheUse to at most
	// maxEmptiedCacheUse means that the cache was emptied.
	minFilledCacheUse  = 0.3
	maxEmptiedCacheUse = 0.05
)

// loadView is the last load report of a server.
type loadView struct {
	measured       time.Time // server's clock, at most the time of arrival
	reportedMillis int64     // UnixMillis of the report
	others         int       // requests in flight of other instances
	cacheUse       float64
	valid          bool
}

// update stores a report unless it is older than the last one, and returns
// whether it did. own is the number of this instance's requests in flight,
// which is known exactly and is subtracted from the report.
func (v *loadView) update(now time.Time, r engineapi.LoadReport, own int) bool {
	if v.valid && r.UnixMillis < v.reportedMillis {
		return false
	}
	v.reportedMillis = r.UnixMillis
	v.measured = time.UnixMilli(r.UnixMillis)
	if v.measured.After(now) {
		v.measured = now
	}
	v.others = max(r.Running+r.Waiting-own, 0)
	v.cacheUse = r.CacheUse
	v.valid = true
	return true
}

// cacheEmptied reports whether a new report shows that the cache was emptied.
func (v *loadView) cacheEmptied(r engineapi.LoadReport) bool {
	return v.valid && r.UnixMillis >= v.reportedMillis && v.cacheUse >= minFilledCacheUse && r.CacheUse <= maxEmptiedCacheUse
}

// inFlight estimates the server's requests in flight: this instance's own plus
// those of others, whose weight halves every reportHalfLife since the report.
func (v *loadView) inFlight(now time.Time, own int) float64 {
	if !v.valid || v.others == 0 {
		return float64(own)
	}
	age := max(now.Sub(v.measured), 0)
	weight := math.Exp2(-float64(age) / float64(reportHalfLife))
	return float64(own) + weight*float64(v.others)
}
