package operator_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
	"github.com/hawthornwick/hawthornwick/internal/clientconn"
	"github.com/hawthornwick/hawthornwick/internal/operator"
	"github.com/hawthornwick/hawthornwick/internal/timeline"
)

// closingDrainer closes the listener at once, as a process does that a forced stop ends.
type closingDrainer struct{ close func() }

func (d *closingDrainer) Drain(bool) { d.close() }

// TestDrainIsAnsweredBeforeTheStop guards against an operator who gets no answer to a forced
// drain since the stop closes the connection first.
func TestDrainIsAnsweredBeforeTheStop(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	drainer := &closingDrainer{}
	s := operator.NewServer(operator.Options{
		Source: &fakeStore{}, Editor: &fakeStore{}, Timeline: timeline.NewRing("a", 2, nil), Status: &fakeInstance{},
		Drainer: drainer, Metrics: func(io.Writer) {}, Log: hclog.NewNullLogger(),
		Guard: clientconn.New(clientconn.Options{Listener: operator.ListenerName, Budget: bytebudget.New(crowdBudgetBytes)}),
	})
	drainer.close = func() { _ = s.Close() }
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	response, err := http.Post("http://"+l.Addr().String()+operator.DrainPath, "application/json", bytes.NewReader([]byte(`{"force":true}`)))
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusAccepted)
	_, err = io.ReadAll(response.Body)
	is.NoErr(err)
}
