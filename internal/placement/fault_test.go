package placement

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/result"
	"github.com/hawthornwick/hawthornwick/internal/traffic"
)

// A reused connection may have been closed silently on the way. A timeout on it
// must not mark its server as suspect.
func TestServerFault(t *testing.T) {
	is := is.New(t)
	is.True(!serverFault(&traffic.Failure{Code: result.AttemptTimeout, Reused: true}))
	is.True(serverFault(&traffic.Failure{Code: result.AttemptTimeout}))
	is.True(serverFault(&traffic.Failure{Code: result.BackendServerError, Reused: true}))
	is.True(!serverFault(&traffic.Failure{Code: result.CallerGone}))
}
