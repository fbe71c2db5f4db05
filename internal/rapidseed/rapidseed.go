// Package rapidseed makes the random cases of property tests reproducible.
package rapidseed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// exitUsage is the exit code if a flag cannot be set.
const exitUsage = 2

// Run runs a package's tests with a seed and a number of checks per property, and exits the
// process. It is called by TestMain. The flags -rapid.seed and -rapid.checks override both.
func Run(m *testing.M, seed, checks string) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(exitUsage)
			}
		}
	}
	os.Exit(m.Run())
}
