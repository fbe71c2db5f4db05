package config

import (
	"os"
	"path/filepath"
	"testing"
)

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"gala-entries.yaml", "drum-returns.yaml"} {
		path := filepath.Join("..", "..", "examples", name)
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(path, text); err != nil {
			t.Error(err)
		}
	}
}
