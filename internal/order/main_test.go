package order

import (
	"testing"

	"github.com/hawthornwick/hawthornwick/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Run(m, "7", "50") }
