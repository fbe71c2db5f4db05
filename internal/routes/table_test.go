package routes

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

func mustCompile(t *testing.T, c Config) *Table {
	t.Helper()
	table, err := Compile(c)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestMatchLongestPrefix(t *testing.T) {
	is := is.New(t)
	split := []Share{{Service: "a", Weight: 1}}
	table := mustCompile(t, Config{
		Services: []Service{{Name: "a"}},
		Routes: []Route{
			{Name: "short", Host: "One.example", Prefix: "/x/", Split: split},
			{Name: "long", Host: "one.example", Prefix: "/x/y/", Split: split},
		},
	})
	is.Equal(table.Match("one.EXAMPLE:80", "/x/y/z").Name, "long")
	is.Equal(table.Match("one.example", "/x/y").Name, "short") // the prefix /x/y/ does not match
	is.Equal(table.Match("one.example", "/xy/"), nil)
	is.Equal(table.Match("two.example", "/x/"), nil)
	is.Equal(table.Match("one.example", ""), nil)
}

func TestCompileRejectsInvalidRoutes(t *testing.T) {
	is := is.New(t)
	_, err := Compile(Config{Routes: []Route{{Name: "r", Prefix: "/x/", Split: []Share{{Service: "missing"}}}}})
	is.True(err != nil) // unknown service
	_, err = Compile(Config{Routes: []Route{{Name: "r", Prefix: "/x", Split: []Share{{Service: "missing"}}}}})
	is.True(err != nil) // prefix without a final slash
}

func TestChooseByWeight(t *testing.T) {
	is := is.New(t)
	r := Route{Split: []Share{{"a", 90}, {"b", 10}, {"never", 0}}}
	count := map[string]int{}
	for i := range 10000 {
		count[r.Choose(strconv.Itoa(i))]++
	}
	is.True(count["a"] > 8800 && count["a"] < 9200)
	is.Equal(count["never"], 0)
}

func TestRankByOrganisationThenRoute(t *testing.T) {
	is := is.New(t)
	split := []Share{{Service: "a", Weight: 1}}
	urgent, usual := 0, 1
	table := mustCompile(t, Config{
		Services: []Service{{Name: "a"}},
		Routes: []Route{
			{Name: "draft", Prefix: "/d/", Split: split, Priority: 2},
			{Name: "lookup", Prefix: "/l/", Split: split, Priority: 0},
			{Name: "review", Prefix: "/r/", Split: split, Priority: 1},
		},
		Organisations: []Organisation{{Name: "usual", Priority: &usual}, {Name: "urgent", Priority: &urgent}, {Name: "other"}},
	})
	draft, lookup, review := &table.Routes[0], &table.Routes[1], &table.Routes[2]
	first, second, none := &table.Organisations[1], &table.Organisations[0], &table.Organisations[2]
	order := []int{
		table.Rank(lookup, first), table.Rank(review, first), table.Rank(draft, first),
		table.Rank(lookup, second), table.Rank(review, second), table.Rank(draft, second),
	}
	is.Equal(order, []int{0, 1, 2, 3, 4, 5}) // the organisation's priority goes before the route's
	is.Equal(table.Rank(lookup, none), 0)    // without one the route's stands in its place
	is.Equal(table.Rank(review, none), 4)
	is.Equal(table.Rank(draft, nil), 6)
}
