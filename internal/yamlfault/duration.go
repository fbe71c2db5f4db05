package yamlfault

import (
	"fmt"
	"strings"
	"time"
)

// Duration is a time.Duration that is written with a unit in YAML, such as 250ms.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	if len(text) > 0 && strings.Trim(string(text), "+-.0123456789") == "" {
		return fmt.Errorf("duration %q has no unit; write it as %ss or %sms", text, text, text)
	}
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 250ms, 30s or 2m", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String formats the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }
