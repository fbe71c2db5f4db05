package quarantine

import (
	"math"
	"time"
)

const (
	// outcomesDecayTime is the time constant with which the outcomes of runs are
	// forgotten.
	outcomesDecayTime = 10 * time.Second
	// maxChanceOfSoundPart is the probability up to which a sound part may be refused
	// because all its runs were on servers that crashed for other reasons.
	maxChanceOfSoundPart = 1e-3
	// priorRuns and priorCrashedRuns are the outcomes assumed before any was seen.
	priorRuns        = 10.0
	priorCrashedRuns = 0.5
)

// runOutcomes counts this instance's recent runs and those that ended with a crash of
// their server. The zero value has seen none.
type runOutcomes struct {
	runs, crashed float64 // decayed
	at            time.Time
}

// add counts one run.
func (o *runOutcomes) add(crashed bool, now time.Time) {
	o.decay(now)
	o.runs++
	if crashed {
		o.crashed++
	}
}

func (o *runOutcomes) decay(now time.Time) {
	if elapsed := now.Sub(o.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / outcomesDecayTime.Seconds())
		o.runs *= factor
		o.crashed *= factor
	}
	o.at = now
}

// crashesToRefuse returns the number of crashes from which a part is refused. The more
// servers crash, the more crashes a sound part meets by chance.
func (o *runOutcomes) crashesToRefuse() int {
	share := (o.crashed + priorCrashedRuns) / (o.runs + priorRuns)
	if share >= 1 {
		return maxPartCrashes
	}
	crashes := int(math.Ceil(math.Log(maxChanceOfSoundPart) / math.Log(share)))
	return min(max(crashes, minPartCrashes), maxPartCrashes)
}
