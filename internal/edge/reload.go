package edge

import "github.com/hawthornwick/hawthornwick/internal/timeline"

// Reload records an event for settings that were read again, or for the error of
// reading them. The settings in force do not change: a difference takes effect only
// after a restart.
func (e *Edge) Reload(s Settings, err error) {
	event := timeline.Event{Kind: timeline.SettingsRead}
	switch {
	case err != nil:
		event.State, event.Detail = "refused", err.Error()
	case s == e.settings:
		event.State = "unchanged"
	default:
		event.State = "changed"
	}
	e.events.Record(event)
}
