package reports

// rateSource is a Balancer that estimates the prefill rates of servers.
type rateSource interface {
	// PrefillRates returns the rates in prompt tokens per millisecond by server ID. Servers
	// that are left out have the default rate.
	PrefillRates() map[string]float64
}

// prefillRates returns the rates at which reported loads decrease with their age. It must
// not be called with the hub's mutex held.
func (h *Hub) prefillRates() map[string]float64 {
	if source, ok := h.balancer.(rateSource); ok {
		return source.PrefillRates()
	}
	return nil
}
