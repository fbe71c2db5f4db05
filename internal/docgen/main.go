// Command docgen generates the pages of the documentation that derive from the
// code: the result codes, the state charts and the fault matrix.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/hawthornwick/hawthornwick/internal/faultmatrix"
)

//go:generate go run . ../../docs

// page is a generated page.
type page struct {
	file   string // name under the documentation folder
	render func() string
}

var pages = []page{
	{"RESULTS.md", renderResults},
	{"CHARTS.md", renderCharts},
	{"FAULTS.md", faultmatrix.Render},
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: docgen FOLDER")
		os.Exit(2)
	}
	if err := writePages(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func writePages(folder string) error {
	for _, p := range pages {
		path := filepath.Join(folder, p.file)
		if err := os.WriteFile(path, []byte(p.render()), 0o644); err != nil {
			return fmt.Errorf("write page: %w", err)
		}
	}
	return nil
}
