package settings

import (
	"fmt"
	"os"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// Load reads and validates the settings in the file and the certificates that
// they name. It returns a *yamlfault.FaultsError with every fault.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, doc := decode(path, text)
	checkFiles(doc, s)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Decode reads and validates a text without opening the files that it names.
// The file name appears in faults only. It returns a *yamlfault.FaultsError
// with every fault.
func Decode(file string, text []byte) (*Settings, error) {
	s, doc := decode(file, text)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func decode(file string, text []byte) (*Settings, *yamlfault.Document) {
	s := new(Settings)
	doc := yamlfault.Decode(file, text, s)
	s.SetDefaults()
	validate(doc, s)
	return s, doc
}
