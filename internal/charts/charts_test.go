package charts

import (
	"io/fs"
	"testing"

	"github.com/matryer/is"
)

func TestAllListsEveryFile(t *testing.T) {
	is := is.New(t)
	names, err := fs.Glob(files, "*.yaml")
	is.NoErr(err)
	is.Equal(len(All()), len(names))
}
