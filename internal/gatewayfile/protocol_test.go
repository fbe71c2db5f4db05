package gatewayfile

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
	"github.com/hawthornwick/hawthornwick/internal/gateway"
)

// TestIdentityIsTheRestartEpoch guards against an engine that is taken for the process that
// it was before it restarted.
func TestIdentityIsTheRestartEpoch(t *testing.T) {
	is := is.New(t)
	r := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
	is.Equal(protocol{}.ReadIdentity(r, nil).Incarnation, uint64(0))
	r.Header.Set(engineapi.EpochHeader, "18446744073709551615")
	is.Equal(protocol{}.ReadIdentity(r, nil).Incarnation, uint64(18446744073709551615))
	is.Equal(protocol{}.ReadAnswerHead(r).Incarnation, uint64(18446744073709551615))
	path, h := protocol{}.IdentityRequest(gateway.Identity{Server: "a", Incarnation: 1})
	is.Equal(path, engineapi.LoadPath)
	is.Equal(h.Get(serverHeader), "a")
}
