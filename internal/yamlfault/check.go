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

// CheckName returns what is wrong with a name, nil when nothing is. Names start
// with a letter or digit and hold letters, digits, '.', '_', '-' and the
// characters of also.
func CheckName(name, also string) error {
	allowed := alphanumeric + punctuation + also
	switch {
	case name == "":
		return errors.New("required")
	case len(name) > maxNameBytes:
		return fmt.Errorf("%q is longer than %d bytes", name, maxNameBytes)
	case strings.Trim(name, allowed) != "" || !strings.Contains(alphanumeric, name[:1]):
		return fmt.Errorf("%q is not a name of letters, digits and %q that starts with a letter or digit", name, punctuation+also)
	}
	return nil
}

// SetDefault sets a field that is zero.
func SetDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
