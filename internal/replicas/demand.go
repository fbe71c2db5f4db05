package replicas

import "github.com/hawthornwick/hawthornwick/internal/presence"

const (
	// prefillTokensPerSecond is the prefill rate of an otherwise idle engine.
	prefillTokensPerSecond = 50000.0
	// maxPrefillUtilisation is the share of an engine's time that prefill may use.
	maxPrefillUtilisation = 0.45
	// targetInFlight is the number of concurrent requests that one engine serves at
	// an acceptable speed.
	targetInFlight = 12.0
	// minGrowthRatio and minGrowthServers are the factor and the additional number
	// of servers by which a demand must exceed an earlier one to be published at
	// once.
	minGrowthRatio   = 1.5
	minGrowthServers = 0.4
)

// serversNeeded returns the number of engines at which the demand meets the target
// utilisation, by prefill rate or by concurrent requests, whichever needs more.
func serversNeeded(d presence.Demand) float64 {
	prefill := d.PromptRate / (prefillTokensPerSecond * maxPrefillUtilisation)
	inFlight := float64(d.InFlight+d.Waiting) / targetInFlight
	return max(prefill, inFlight)
}

// HasGrown reports whether the demand for any service has grown so much that more
// servers may have to be ordered.
func HasGrown(before, now map[string]presence.Demand) bool {
	for service, d := range now {
		if serversNeeded(d) > minGrowthRatio*serversNeeded(before[service])+minGrowthServers {
			return true
		}
	}
	return false
}
