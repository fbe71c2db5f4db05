package timeline

// OfRequest returns the events of one request over all processes: its own,
// those of its attempts, those of its idempotency record, and the changes of
// their states.
func OfRequest(events []Event, request string) []Event {
	related := map[string]bool{request: true}
	for _, e := range events {
		if e.Request != request {
			continue
		}
		related[e.Attempt] = true
		related[e.Record] = true
	}
	delete(related, "")
	var selected []Event
	for _, e := range events {
		if related[e.Request] || related[e.Attempt] || related[e.Record] || related[e.Subject] {
			selected = append(selected, e)
		}
	}
	return selected
}
