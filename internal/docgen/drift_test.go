package main

import (
	"os"
	"path/filepath"
	"testing"
)

func TestPagesAreCurrent(t *testing.T) {
	for _, p := range pages {
		got, err := os.ReadFile(filepath.Join("..", "..", "docs", p.file))
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != p.render() {
			t.Errorf("docs/%s differs from its source: run go generate ./...", p.file)
		}
	}
}
