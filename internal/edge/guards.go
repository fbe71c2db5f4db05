package edge

import (
	"net"
	"net/http"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/bytebudget"
	"github.com/hawthornwick/hawthornwick/internal/clientconn"
)

// readinessBudgetBytes is the budget of the readiness listener, which suffices for about 30
// connections and as many requests at once. It is separate, because in the callers' budget
// readiness checks were refused as soon as callers used that up.
const readinessBudgetBytes = 2 << 20

// shortServer returns a server for requests that are answered immediately.
func (e *Edge) shortServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	}
}

// guardListener bounds what the clients of a listener can make the instance hold, within the
// given budget.
func (e *Edge) guardListener(name string, budget *bytebudget.Budget, s *http.Server, l net.Listener) net.Listener {
	guard := clientconn.New(clientconn.Options{Listener: name, Budget: budget, DrainBodies: true, Logger: e.logger})
	s.ErrorLog = e.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	guard.Install(s)
	e.guards = append(e.guards, guard)
	return guard.Listener(l)
}
