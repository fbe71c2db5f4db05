package settings

import (
	"fmt"
	"os"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// Load reads and validates the settings file and the certificate files that it
// refers to. If any of them is invalid, Load returns a *yamlfault.FaultsError that
// lists all faults.
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

// Decode parses and validates the text of a settings file without opening the files
// that it refers to. The file name is used in error messages only. If the text is
// invalid, Decode returns a *yamlfault.FaultsError that lists all faults.
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
