package instance

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/hawthornwick/hawthornwick/internal/settings"
)

// Serve runs one instance until ctx ends and the planned stop that follows has
// completed. It logs JSON lines to standard error.
func Serve(ctx context.Context, s *settings.Settings) error {
	i, err := New(Options{Settings: s, Logger: newLogger(s)})
	if err != nil {
		return err
	}
	return i.Run(ctx)
}

func newLogger(s *settings.Settings) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       s.Instance,
		Level:      hclog.LevelFromString(s.Log.Level),
		Output:     os.Stderr,
		JSONFormat: true,
	})
}
