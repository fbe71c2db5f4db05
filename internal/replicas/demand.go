package replicas

import "github.com/hawthornwick/hawthornwick/internal/presence"

const (
	// promptTokensPerSecond is what one engine reads when it does nothing else.
	promptTokensPerSecond = 50000.0
	// promptShare is the part of an engine's time that reading prompts may take.
	promptShare = 0.45
	// inFlightPerServer is the number of requests that one engine runs at a good pace.
	inFlightPerServer = 12.0
	// grownRatio and grownServers are the factor and the number of servers by which
	// a demand must exceed an earlier one to be worth telling at once.
	grownRatio   = 1.5
	grownServers = 0.4
)

// needed is the number of engines that the demand keeps as busy as they should be.
func needed(d presence.Demand) float64 {
	reading := d.PromptRate / (promptTokensPerSecond * promptShare)
	running := float64(d.InFlight+d.Waiting) / inFlightPerServer
	return max(reading, running)
}

// Grown reports whether the demand for some service has grown so much that
// servers may have to be ordered for it.
func Grown(before, now map[string]presence.Demand) bool {
	for service, d := range now {
		if needed(d) > grownRatio*needed(before[service])+grownServers {
			return true
		}
	}
	return false
}
