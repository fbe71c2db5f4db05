package advisory

import (
	"errors"
	"net/http"
	"net/textproto"

	"github.com/hawthornwick/hawthornwick/internal/httpcheck"
)

// maxInformational bounds the informational (1xx) answers before the final one.
const maxInformational = 8

var errInformational = errors.New("the server sends informational answers without end")

// Informational returns a hook for httptrace.ClientTrace.Got1xxResponse that passes the
// head of each informational answer to observe. It limits their number and rejects invalid
// fields, which the transport leaves to such a hook.
func Informational(observe func(status int, h http.Header)) func(int, textproto.MIMEHeader) error {
	count := 0
	return func(status int, h textproto.MIMEHeader) error {
		count++
		if count > maxInformational {
			return errInformational
		}
		if err := httpcheck.Fields(http.Header(h)); err != nil {
			return err
		}
		observe(status, http.Header(h))
		return nil
	}
}
