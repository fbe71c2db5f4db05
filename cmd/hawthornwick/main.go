// Command hawthornwick is a router for language-model requests. It routes them by service
// class and priority.
package main

import (
	"context"
	"log"
	"os"

	"github.com/hawthornwick/hawthornwick/internal/cli"
	"github.com/hawthornwick/hawthornwick/internal/demo"
	"github.com/hawthornwick/hawthornwick/internal/instance"
	"github.com/hawthornwick/hawthornwick/internal/logsink"
	"github.com/hawthornwick/hawthornwick/platform"
	"github.com/hawthornwick/hawthornwick/platform/soaksite"
)

func main() {
	log.SetOutput(logsink.NewStandardFilter(os.Stderr))
	os.Exit(cli.Main(os.Args[1:], cli.Commands{Serve: instance.Serve, Platform: platform.Serve, Soak: soaksite.Run, Demo: runDemo}))
}

func runDemo(ctx context.Context, o cli.DemoOptions) error {
	return demo.Run(ctx, demo.Options{JSON: o.JSON, Instances: o.Instances, Out: o.Out})
}
