package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/engineapi"
)

func TestEstablishedServerIsWarmAtItsFirstReport(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRamp(now, 1, 1, 8)
	r.SetEstablished()
	is.True(!r.Warm()) // nothing is known before the report
	r.Report(now, engineapi.LoadReport{Epoch: 1}, 0)
	is.True(r.Warm())
}

func TestRestartEndsEstablishment(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRamp(now, 1, 1, 8)
	r.SetEstablished()
	is.True(r.Epoch(now, 2))
	r.Report(now, engineapi.LoadReport{Epoch: 2}, 0)
	is.True(!r.Warm())
}

func TestColdReportKeepsEstablishedServerCold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRamp(now, 1, 1, 8)
	r.SetEstablished()
	r.Report(now, engineapi.LoadReport{Epoch: 1, ColdRemaining: 3}, 0)
	r.Report(now, engineapi.LoadReport{Epoch: 1}, 0)
	is.True(!r.Warm()) // a server that was cold is stepped
}
