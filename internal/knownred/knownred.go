// Package knownred skips the tests that KNOWN-RED.txt lists as known failures.
package knownred

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// file is the name of the list in the root folder of the module. An entry starts
// with the full name of the test in the first column; its further lines are
// indented.
const file = "KNOWN-RED.txt"

// Skip skips the test if it is listed. Without a list, nothing is skipped.
func Skip(t testing.TB) {
	t.Helper()
	if listed(t)[t.Name()] {
		t.Skipf("known failure, see %s", file)
	}
}

// listed returns the names of the listed tests. The result is empty if the file
// does not exist.
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

// root returns the nearest folder with a go.mod file, from the working folder
// upwards.
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
			t.Fatal("no go.mod in the working folder or above")
		}
		dir = parent
	}
}
