// Command hawthornwick routes language-model traffic by service level and priority.
package main

import (
	"context"
	"errors"
	"os"

	"github.com/hawthornwick/hawthornwick/internal/cli"
	"github.com/hawthornwick/hawthornwick/internal/settings"
)

var errNotBuilt = errors.New("not part of this build")

func main() {
	os.Exit(cli.Main(os.Args[1:], cli.Commands{
		Serve: func(context.Context, *settings.Settings) error { return errNotBuilt },
		Demo:  func(context.Context, cli.DemoOptions) error { return errNotBuilt },
	}))
}
