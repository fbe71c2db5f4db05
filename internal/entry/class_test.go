package entry

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

func TestClassSelection(t *testing.T) {
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
		choice classSelection
		class  string
		code   result.Code
	}{
		"the pool's":                           {classSelection{organisation: club, pool: "labels", poolClass: "label"}, "label", 0},
		"the organisation's":                   {classSelection{organisation: depot, pool: "labels", poolClass: "label"}, "draft", 0},
		"a lower tier":                         {classSelection{organisation: club, pool: "labels", poolClass: "label", requested: "draft"}, "draft", 0},
		"the same tier":                        {classSelection{organisation: depot, pool: "labels", poolClass: "label", requested: "label"}, "label", 0},
		"a higher tier":                        {classSelection{organisation: club, pool: "bare", poolClass: "draft", requested: "label"}, "", result.NotPermitted},
		"higher without a key":                 {classSelection{pool: "results", poolClass: "draft", requested: "status"}, "", result.NotPermitted},
		"of a service in front of the pool":    {classSelection{organisation: club, pool: "drafts", poolClass: "draft", requested: "label"}, "label", 0},
		"of a service that is closed to it":    {classSelection{organisation: depot, pool: "labels", poolClass: "label", requested: "status"}, "", result.NotPermitted},
		"above every service in front":         {classSelection{organisation: club, pool: "drafts", poolClass: "draft", requested: "status"}, "", result.NotPermitted},
		"unknown":                              {classSelection{organisation: club, pool: "labels", poolClass: "label", requested: "gold"}, "", result.UnknownClass},
		"higher by the operators' own setting": {classSelection{organisation: &config.Organisation{Name: "x", Class: "status"}, pool: "drafts", poolClass: "draft"}, "status", 0},
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

// Naming an idempotent class must not make a request to a non-idempotent pool
// idempotent.
func TestClassHeaderKeepsNonIdempotent(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	e.apply(func(c *config.Config, _ map[config.KeyDigest]config.KeyState) {
		c.Models = []config.Model{{Name: "m", Class: "money", ColdLimit: 4, WarmLimit: 4}}
	})
	got := e.call(http.MethodPost, "/v1/chat/completions", clubKey, chat, ClassHeader, "status")
	is.Equal(got.refusal(t).Code, result.IdempotencyKeyMissing)
	is.Equal(e.engine.Tokens(), int64(0))
}

func TestHigherClassRefused(t *testing.T) {
	is := is.New(t)
	e := startTestServer(t, testServerOptions{})
	got := e.call(http.MethodPost, "/v1/chat/completions", depotKey, chat, ClassHeader, "status")
	is.Equal(got.StatusCode, http.StatusForbidden)
	is.Equal(got.refusal(t).Code, result.NotPermitted)
	is.True(got.refusal(t).NotRun)
}
