package order

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaultSeed makes the random histories reproducible. Override it with -rapid.seed.
const defaultSeed = "7"

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": defaultSeed, "rapid.checks": "50"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(2)
			}
		}
	}
	os.Exit(m.Run())
}
