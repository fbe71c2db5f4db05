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
