package replicas

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/presence"
)

func TestGrown(t *testing.T) {
	is := is.New(t)
	byService := func(d presence.Demand) map[string]presence.Demand { return map[string]presence.Demand{"s": d} }
	is.True(!HasGrown(nil, nil))
	is.True(!HasGrown(nil, byService(presence.Demand{InFlight: 4}))) // below minGrowthServers
	is.True(HasGrown(nil, byService(presence.Demand{InFlight: 12})))
	before := presence.Demand{InFlight: 60, PromptRate: 100_000}
	is.True(!HasGrown(byService(before), byService(presence.Demand{InFlight: 80, PromptRate: 100_000})))
	is.True(HasGrown(byService(before), byService(presence.Demand{InFlight: 100})))
	is.True(HasGrown(byService(before), byService(presence.Demand{PromptRate: 200_000})))
	is.True(!HasGrown(byService(before), nil)) // a decrease is not urgent
}
