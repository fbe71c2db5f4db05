package entry

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

func TestClassOfARequest(t *testing.T) {
	classes := []config.Class{
		{Name: "status", Tier: 1}, {Name: "pay", Tier: 2, NonIdempotent: true}, {Name: "label", Tier: 2}, {Name: "draft", Tier: 5},
	}
	services := []config.Service{
		{Name: "gate", Class: "status", DependsOn: []string{"labels"}, Organisations: []string{"club"}},
		{Name: "sheets", Class: "label", DependsOn: []string{"drafts"}},
	}
	snap := config.NewSnapshot(1, "", config.Config{Classes: classes, Services: services}, nil, nil)
	club, depot := &config.Organisation{Name: "club"}, &config.Organisation{Name: "depot", Class: "draft"}
	for name, c := range map[string]struct {
		choice classChoice
		class  string
		code   result.Code
	}{
		"the pool's":                           {classChoice{organisation: club, pool: "labels", poolClass: "label"}, "label", 0},
		"the organisation's":                   {classChoice{organisation: depot, pool: "labels", poolClass: "label"}, "draft", 0},
		"a lower tier":                         {classChoice{organisation: club, pool: "labels", poolClass: "label", asked: "draft"}, "draft", 0},
		"the same tier":                        {classChoice{organisation: depot, pool: "labels", poolClass: "label", asked: "label"}, "label", 0},
		"a higher tier":                        {classChoice{organisation: club, pool: "bare", poolClass: "draft", asked: "label"}, "", result.NotPermitted},
		"higher without a key":                 {classChoice{pool: "results", poolClass: "draft", asked: "status"}, "", result.NotPermitted},
		"of a service in front of the pool":    {classChoice{organisation: club, pool: "drafts", poolClass: "draft", asked: "label"}, "label", 0},
		"of a service that is closed to it":    {classChoice{organisation: depot, pool: "labels", poolClass: "label", asked: "status"}, "", result.NotPermitted},
		"above every service in front":         {classChoice{organisation: club, pool: "drafts", poolClass: "draft", asked: "status"}, "", result.NotPermitted},
		"unknown":                              {classChoice{organisation: club, pool: "labels", poolClass: "label", asked: "gold"}, "", result.UnknownClass},
		"higher by the operators' own setting": {classChoice{organisation: &config.Organisation{Name: "x", Class: "status"}, pool: "drafts", poolClass: "draft"}, "status", 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.choice.snap = snap
			var gate result.Gate
			class, refusal := c.choice.choose(&gate)
			if c.code != 0 {
				is.Equal(refusal.Code, c.code)
				is.True(refusal.NotRun())
				return
			}
			is.True(refusal == nil)
			is.Equal(class.Name, c.class)
		})
	}
}

func TestNamingAnotherClassDoesNotMakeARequestIdempotent(t *testing.T) {
	is := is.New(t)
	e := startEdge(t, edgeOptions{})
	e.apply(func(c *config.Config, _ map[config.KeyDigest]config.KeyState) {
		c.Models = []config.Model{{Name: "m", Class: "money", ColdLimit: 4, WarmLimit: 4}}
	})
	got := e.call(http.MethodPost, "/v1/chat/completions", clubKey, chat, ClassHeader, "status")
	is.Equal(got.refusal(t).Code, result.IdempotencyKeyMissing)
	is.Equal(e.engine.Tokens(), int64(0))
}

func TestHigherClassIsRefusedOverTheWire(t *testing.T) {
	is := is.New(t)
	e := startEdge(t, edgeOptions{})
	got := e.call(http.MethodPost, "/v1/chat/completions", depotKey, chat, ClassHeader, "status")
	is.Equal(got.StatusCode, http.StatusForbidden)
	is.Equal(got.refusal(t).Code, result.NotPermitted)
	is.True(got.refusal(t).NotRun)
}
