package replicas

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/presence"
)

func TestOnlyAMarkedGrowthOfDemandIsWorthTelling(t *testing.T) {
	is := is.New(t)
	of := func(d presence.Demand) map[string]presence.Demand { return map[string]presence.Demand{"s": d} }
	is.True(!Grown(nil, nil))
	is.True(!Grown(nil, of(presence.Demand{InFlight: 4}))) // a few requests are no burst
	is.True(Grown(nil, of(presence.Demand{InFlight: 12})))
	before := presence.Demand{InFlight: 60, PromptRate: 100_000}
	is.True(!Grown(of(before), of(presence.Demand{InFlight: 80, PromptRate: 100_000})))
	is.True(Grown(of(before), of(presence.Demand{InFlight: 100})))
	is.True(Grown(of(before), of(presence.Demand{PromptRate: 200_000})))
	is.True(!Grown(of(before), nil)) // less demand can wait
}
