package lease

import (
	"testing"

	"github.com/hawthornwick/hawthornwick/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Run(m, "5", "400") }
