package cli

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/hawthornwick/hawthornwick/internal/operator/client"
)

// target holds the options of commands that connect to one instance.
type target struct {
	Operator string `long:"operator" short:"o" value-name:"ADDRESS" env:"HAWTHORNWICK_OPERATOR" default:"http://127.0.0.1:9090" description:"Operators' listener of an instance: http://IP:PORT or https://IP:PORT"`
	access
}

// targets holds the options of commands that connect to several instances.
type targets struct {
	Operators []string `long:"operator" short:"o" value-name:"ADDRESS" env:"HAWTHORNWICK_OPERATOR" env-delim:"," default:"http://127.0.0.1:9090" description:"Operators' listener of an instance; give it several times for several instances"`
	access
}

// access holds the options for authentication on an operators' listener.
type access struct {
	TokenFile   string `long:"token-file" value-name:"FILE" env:"HAWTHORNWICK_TOKEN_FILE" description:"File that holds the operators' token; none is sent without it"`
	Authorities string `long:"ca" value-name:"FILE" env:"HAWTHORNWICK_CA" description:"Certificates (PEM) that sign the listener's certificate, for https"`
}

func (t target) client() (*client.Client, error) { return t.access.client(t.Operator) }

// open selects the output of a command that takes no arguments, and returns the client of its
// instance.
func (t target) open(a *app, o output, args []string) (*client.Client, error) {
	a.json = o.JSON
	if err := rejectArguments(args); err != nil {
		return nil, err
	}
	return t.client()
}

func (a access) client(address string) (*client.Client, error) {
	token, err := a.token()
	if err != nil {
		return nil, err
	}
	tlsConfig, err := a.tlsConfig()
	if err != nil {
		return nil, err
	}
	return client.New(address, token, tlsConfig)
}

func (a access) token() (string, error) {
	if a.TokenFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(a.TokenFile)
	if err != nil {
		return "", invalidInput("read token: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
}

func (a access) tlsConfig() (*tls.Config, error) {
	if a.Authorities == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(a.Authorities)
	if err != nil {
		return nil, invalidInput("read authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, invalidInput("file %q holds no PEM certificate", a.Authorities)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
