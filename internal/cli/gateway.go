package cli

import (
	"errors"
	"io/fs"
	"os"
	"os/signal"
	"syscall"

	"github.com/hawthornwick/hawthornwick/internal/gatewayfile"
	"github.com/hawthornwick/hawthornwick/internal/logsink"
)

const gatewayHelp = `Serve HTTP routes from one YAML file, without a platform: routes by host and longest
prefix, streams that are resumed, keys by organisation, and the backend servers. See
examples/gateway.yaml. SIGHUP has the file read again; one with faults leaves the old
one in force. SIGTERM answers what was read and ends.`

// gatewayCommand serves the HTTP routes of a file.
type gatewayCommand struct {
	app   *app
	File  string `long:"file" short:"f" value-name:"FILE" required:"yes" description:"Routes, organisations and backend servers (YAML)"`
	Check bool   `long:"check" description:"Check the file and end"`
}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	f, err := gatewayfile.Load(c.File)
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return &inputError{err}
	}
	if err != nil || c.Check {
		return err
	}
	sink := logsink.New(c.app.Out, logsink.DefaultLines)
	defer sink.Close()
	s, err := gatewayfile.New(f, sink)
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return s.Run(c.app.ctx, c.File, reload)
}
