package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/instance"
	"github.com/hawthornwick/hawthornwick/internal/peer"
	"github.com/hawthornwick/hawthornwick/internal/peer/testcert"
	"github.com/hawthornwick/hawthornwick/internal/settings"
)

const (
	readyPollInterval = 20 * time.Millisecond
	balancerLag       = 100 * time.Millisecond
)

func (d *Demo) startInstances(o Options) error {
	running, stop := context.WithCancel(context.Background())
	d.stop = stop
	authority, err := testcert.New()
	if err != nil {
		return fmt.Errorf("create certificate authority for instances: %w", err)
	}
	for n := range o.Instances {
		s := d.settings(n)
		i, err := startInstance(s, authority, o.Logger.Named(s.Instance))
		if err != nil {
			return fmt.Errorf("start %s: %w", s.Instance, err)
		}
		d.instances = append(d.instances, i)
		d.running.Go(func() {
			if err := i.Run(running); err != nil {
				o.Logger.Error("instance failed", "instance", s.Instance, "error", err)
			}
		})
		d.Description.Callers = append(d.Description.Callers, "http://"+i.CallerAddress())
		d.Description.Operators = append(d.Description.Operators, "http://"+i.OperatorAddress())
	}
	return nil
}

func startInstance(s *settings.Settings, authority *testcert.Authority, logger hclog.Logger) (*instance.Instance, error) {
	certificate, err := authority.Issue(s.Instance)
	if err != nil {
		return nil, err
	}
	identity := peer.Identity{Certificate: certificate, Roots: authority.Pool()}
	return instance.New(instance.Options{Settings: s, Logger: logger, PeerIdentity: &identity})
}

func (d *Demo) settings(n int) *settings.Settings {
	s := &settings.Settings{
		Instance:  fmt.Sprintf("instance-%d", n+1),
		Zone:      zones[n%len(zones)],
		Callers:   settings.Callers{Address: loopback},
		Operators: settings.Operators{Address: loopback},
		Peers:     settings.Peers{Address: loopback},
		Platform: settings.Platform{
			Table: d.Backends.Endpoint, Objects: d.Backends.Endpoint, Servers: d.Backends.Endpoint,
			Usage: d.Backends.Endpoint, Instances: d.Backends.Endpoint,
		},
		Drain: settings.Drain{BalancerLag: settings.Duration(balancerLag)},
	}
	s.SetDefaults()
	return s
}

// awaitReady waits until all instances report ready, then completes the description.
func (d *Demo) awaitReady(ctx context.Context) error {
	for _, base := range d.Description.Operators {
		for !isReady(ctx, base) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("instance at %s is not ready: %w", base, context.Cause(ctx))
			case <-time.After(readyPollInterval):
			}
		}
	}
	return d.describeConfiguration()
}

func isReady(ctx context.Context, base string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/ready", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// describeConfiguration adds the models, classes and services of the sample configuration
// to the description.
func (d *Demo) describeConfiguration() error {
	c, err := config.Decode("demo", []byte(d.Backends.configuration()))
	if err != nil {
		return err
	}
	for _, m := range c.Models {
		d.Description.Models = append(d.Description.Models, m.Name)
	}
	for _, class := range c.Classes {
		d.Description.Classes = append(d.Description.Classes, class.Name)
	}
	for _, s := range c.Services {
		if s.Route {
			d.Description.Services = append(d.Description.Services, describeService(c, s)...)
		}
	}
	return nil
}

// describeService returns the description of a GET and a POST call to the service.
func describeService(c config.Config, s config.Service) []ServiceDescription {
	organisations := s.Organisations
	if len(organisations) == 0 {
		for _, o := range c.Organisations {
			organisations = append(organisations, o.Name)
		}
	}
	var calls []ServiceDescription
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		calls = append(calls, ServiceDescription{
			Name: s.Name, Method: method, Path: "/services/" + s.Name + "/run",
			Idempotent: slices.Contains(s.Idempotent, method), Organisations: organisations,
		})
	}
	return calls
}

// writeText writes the listeners, the keys and an example request.
func (d Description) writeText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintln(&b, "hawthornwick demo: stand-ins for platform, engines and services; stop with Ctrl-C")
	for i := range d.Callers {
		fmt.Fprintf(&b, "  instance-%d   callers %s   operators %s\n", i+1, d.Callers[i], d.Operators[i])
	}
	fmt.Fprintln(&b, "  keys:")
	organisations := make([]string, 0, len(d.Keys))
	for name := range d.Keys {
		organisations = append(organisations, name)
	}
	slices.Sort(organisations)
	for _, name := range organisations {
		fmt.Fprintf(&b, "    %-18s %s\n", name, d.Keys[name])
	}
	fmt.Fprintf(&b, "  models: %s\n", strings.Join(d.Models, ", "))
	fmt.Fprintf(&b, "\nTry:\n  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n    -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		d.Callers[0], d.Keys[organisations[0]], d.Models[0])
	_, err := io.WriteString(w, b.String())
	return err
}
