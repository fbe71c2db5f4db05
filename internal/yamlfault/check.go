package yamlfault

import (
	"errors"
	"fmt"
	"strings"
)

const maxNameBytes = 64

const (
	alphanumeric = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789"
	punctuation  = "._-"
)

// CheckName returns an error if the name is not valid. A valid name has at most 64
// bytes, starts with a letter or digit, and consists of letters, digits, '.', '_',
// '-' and the extra characters.
func CheckName(name, extra string) error {
	allowed := alphanumeric + punctuation + extra
	switch {
	case name == "":
		return errors.New("required")
	case len(name) > maxNameBytes:
		return fmt.Errorf("%q is longer than %d bytes", name, maxNameBytes)
	case strings.Trim(name, allowed) != "" || !strings.Contains(alphanumeric, name[:1]):
		return fmt.Errorf("%q is not a name of letters, digits and %q that starts with a letter or digit", name, punctuation+extra)
	}
	return nil
}

// SetDefault sets the field to the value if the field is zero.
func SetDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
