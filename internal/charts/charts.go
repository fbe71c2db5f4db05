// Package charts embeds the YAML files of the router's state charts.
package charts

import (
	"embed"

	"github.com/hawthornwick/hawthornwick/internal/statechart"
)

//go:embed *.yaml
var files embed.FS

// The charts. Each is checked at process start; a fault panics.
var (
	Request       = load("request.yaml")
	Server        = load("server.yaml")
	Record        = load("record.yaml")
	Lease         = load("lease.yaml")
	UsageWindow   = load("usage_window.yaml")
	Configuration = load("configuration.yaml")
	Instance      = load("instance.yaml")
)

// All returns all charts in the order in which the documentation shows them.
func All() []*statechart.Chart {
	return []*statechart.Chart{Request, Server, Record, Lease, UsageWindow, Configuration, Instance}
}

func load(name string) *statechart.Chart {
	text, err := files.ReadFile(name)
	if err != nil {
		panic(err)
	}
	return statechart.MustLoad(name, text)
}
