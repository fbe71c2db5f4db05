// Package knownred lets tests pass over the cases that KNOWN-RED.txt lists.
package knownred

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// file is the list's name, at the root of the module. A line that begins a case
// starts with the full name of its test; the lines below it are indented.
const file = "KNOWN-RED.txt"

// Skip skips the test if the list names it.
func Skip(t testing.TB) {
	t.Helper()
	if listed(t)[t.Name()] {
		t.Skipf("known red, see %s", file)
	}
}

// listed returns the names of the tests in the list; none when there is no list.
func listed(t testing.TB) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	data, err := os.ReadFile(filepath.Join(root(t), file))
	if errors.Is(err, fs.ErrNotExist) {
		return names
	}
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		name, _, _ := strings.Cut(strings.TrimRight(line, "\n"), " ")
		if name != "" {
			names[name] = true
		}
	}
	return names
}

// root is the folder of go.mod at or above the test's own.
func root(t testing.TB) string {
	t.Helper()
	dir, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			t.Fatal("no go.mod above the test's folder")
		}
		dir = parent
	}
}
