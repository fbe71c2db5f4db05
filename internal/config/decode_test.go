package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validText = `
organisations:
  - name: suva-swimming
  - {name: nadi-aquatics, weight: 2, class: draft}
classes:
  - {name: status, tier: 1, floor: 0.2, first-token: 300ms, deadline: 5s, hedge-after: 1s}
  - {name: draft, tier: 5, cheap: true}
  - {name: fee, tier: 1, non-idempotent: true}
models:
  - {name: meet-rules-8b, class: draft, max-servers: 4}
services:
  - name: entries
    class: status
    route: true
    organisations: [suva-swimming]
    depends-on: [fees, meet-rules-8b]
    servers:
      - {address: "10.0.0.7:8080", zone: suva-a}
  - {name: fees, class: fee, route: true, servers: [{address: "10.0.0.8:8080", zone: suva-a}], idempotent-methods: []}
  - {name: drafts, class: draft, depends-on: [meet-rules-8b]}
zones:
  - {name: suva-a, region: viti-levu}
`

// faultsOf decodes an invalid text and returns its faults.
func faultsOf(t *testing.T, text string) []Fault {
	t.Helper()
	_, err := Decode("test.yaml", []byte(text))
	var faults *FaultsError
	if !errors.As(err, &faults) {
		t.Fatalf("got %v, want faults", err)
	}
	return faults.Faults
}

func TestDecodeDefaults(t *testing.T) {
	is := is.New(t)
	c, err := Decode("test.yaml", []byte(validText))
	is.NoErr(err)
	is.Equal(c.Organisations[0].Weight, 1.0)
	is.Equal(c.Classes[0].QueueTimeout, Duration(5*time.Second)) // the deadline
	is.Equal(c.Classes[1].Deadline, Duration(DefaultDeadline))
	is.Equal(*c.Classes[1].RetryBudget, DefaultRetryBudget)
	is.Equal(c.Models[0].WarmLimit, DefaultWarmLimit)
	is.Equal(c.Services[0].Idempotent, []string{"GET", "HEAD", "OPTIONS"})
	is.Equal(len(c.Services[1].Idempotent), 0) // an empty list is not replaced by the default
	is.Equal(c.Services[2].Idempotent, nil)
}

func TestDecodeReportsAllFaults(t *testing.T) {
	is := is.New(t)
	faults := faultsOf(t, `
organisations:
  - name: suva-swimming
    wieght: 2
classes:
  - {name: status, tier: 9}
  - {name: draft, tier: 5, deadline: 30}
zones:
  - name: suva-a
`)
	is.Equal(len(faults), 3)
	is.Equal(faults[0].String(), "test.yaml:4:5: organisations[0].wieght: unknown field; known are name, weight, class")
	is.Equal(faults[1].String(), "test.yaml:6:26: classes[0].tier: 9 is not a tier from 1 (highest) to 7")
	is.Equal(faults[2].String(), `test.yaml:7:38: classes[1].deadline: duration "30" has no unit; write it as 30s or 30ms`)
}

func TestDecodeRejects(t *testing.T) {
	cases := []struct{ name, old, new, field, message string }{
		{"floors of 1", "floor: 0.2", "floor: 0.99", "classes", "floors sum to 1.01, not below 1"},
		{"floor NaN", "floor: 0.2", "floor: .nan", "classes[0].floor", "expected a number"},
		{"fraction for whole", "tier: 5", "tier: 5.5", "classes[1].tier", "expected a whole number"},
		{"number for name", "name: suva-swimming\n", "name: 12\n", "organisations[0].name", "in quotes"},
		{"duplicate name", "name: nadi-aquatics", "name: suva-swimming", "organisations[1].name", "already defined by organisations[0].name"},
		{"service named as model", "name: drafts", "name: meet-rules-8b", "services[2].name", "already defined"},
		{"unknown class", "class: fee", "class: fees", "services[1].class", `class "fees" does not exist`},
		{"unknown zone", "zone: suva-a}\n", "zone: suva-b}\n", "services[0].servers[0].zone", `zone "suva-b" does not exist`},
		{"unknown organisation", "[suva-swimming]", "[suva]", "services[0].organisations[0]", `"suva" does not exist`},
		{"hostname", "10.0.0.7:8080", "entries.local:8080", "services[0].servers[0].address", "is not an IP address and port"},
		{"no port", "10.0.0.7:8080", "10.0.0.7", "services[0].servers[0].address", "is not an IP address and port"},
		{"hedged non-idempotent", "non-idempotent: true", "non-idempotent: true, hedge-after: 1s", "classes[2].hedge-after", "second attempt"},
		{"cheap non-idempotent", "non-idempotent: true", "non-idempotent: true, cheap: true", "classes[2].cheap", "reclaimed"},
		{"target beyond deadline", "first-token: 300ms", "first-token: 6s", "classes[0].first-token", "exceeds the deadline of 5s"},
		{"negative duration", "hedge-after: 1s", "hedge-after: -1s", "classes[0].hedge-after", "is negative"},
		{"cold above warm", "max-servers: 4", "cold-limit: 40", "models[0].cold-limit", "exceeds the warm-limit"},
		{"min above max", "max-servers: 4", "min-servers: 4", "models[0].min-servers", "exceeds the max-servers of 0"},
		{"self dependency", "depends-on: [meet-rules-8b]}", "depends-on: [drafts]}", "services[2].depends-on[0]", "drafts → drafts"},
		{"cycle", "{name: fees,", "{name: fees, depends-on: [entries],", "services[1].depends-on[0]", "entries → fees → entries"},
		{"unknown dependency", "depends-on: [meet-rules-8b]}", "depends-on: [judges]}", "services[2].depends-on[0]", `"judges" does not exist`},
		{"open and listed", "route: true\n", "route: true\n    open: true\n", "services[0].open", "cannot list organisations"},
		{"route fields without route", "{name: drafts,", "{name: drafts, open: true,", "services[2].open", "route: true"},
		{"route without servers", "servers: [{address: \"10.0.0.8:8080\", zone: suva-a}], ", "", "services[1].servers", "at least one"},
		{"field twice", "weight: 2", "weight: 2, weight: 3", "organisations[1].weight", "appears twice"},
		{"alias", "weight: 2", "weight: &w 2", "organisations[1].weight", "not supported"},
		{"no zones", "zones:\n  - {name: suva-a, region: viti-levu}", "", "zones", "at least one is required"},
		{"list for fields", "- {name: suva-a, region: viti-levu}", "- [suva-a]", "zones[0]", "expected fields, not a list"},
		{"two documents", "\norganisations", "a: 1\n---\norganisations", "", "2 documents"},
		{"brackets nested too deeply", "[suva-swimming]", strings.Repeat("[", 100_000), "", "levels of nesting"},
		{"entries nested too deeply", "  - name: suva-swimming", strings.Repeat("- ", 100_000), "", "levels of nesting"},
		{"syntax", "[suva-swimming]", "[suva-swimming", "", "',' or ']' must be specified"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validText, c.old, c.new, 1)
			if text == validText {
				t.Fatalf("%q does not occur in the text", c.old)
			}
			for _, f := range faultsOf(t, text) {
				if f.Field == c.field && strings.Contains(f.Message, c.message) && (f.Line > 0 || c.name == "no zones") {
					return
				}
			}
			t.Fatalf("no fault of %q with %q in:\n%v", c.field, c.message, faultsOf(t, text))
		})
	}
}

func TestDiffMatchesByName(t *testing.T) {
	is := is.New(t)
	a, err := Decode("a", []byte(validText))
	is.NoErr(err)
	text := strings.Replace(validText, "floor: 0.2", "floor: 0.3", 1)
	text = strings.Replace(text, "  - name: suva-swimming\n  - {name: nadi-aquatics, weight: 2, class: draft}\n", "  - name: lautoka\n  - name: suva-swimming\n", 1)
	b, err := Decode("b", []byte(text))
	is.NoErr(err)
	var lines []string
	for _, c := range Diff(a, b) {
		lines = append(lines, c.String())
	}
	is.Equal(lines, []string{
		"+ organisations[lautoka]: {name: lautoka, weight: 1.0, class: \"\"}",
		"- organisations[nadi-aquatics]: {name: nadi-aquatics, weight: 2.0, class: draft}",
		"~ classes[status].floor: 0.2 → 0.3",
	})
	is.Equal(len(Diff(a, a)), 0)
}
