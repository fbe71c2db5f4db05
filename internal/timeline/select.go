package timeline

// OfRequest returns the events of one request from all processes: those of the
// request itself, of its attempts and of its idempotency record, and the state
// transitions of these.
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
