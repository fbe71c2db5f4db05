// Command stand2 holds the stand-ins of the review's cases 6 and later: a store, a provider,
// sound backend servers, and clients. It runs one case: stand2 CASE RECORD.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// trouble is false with TROUBLE=0: the same without the disruption.
var trouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(*world) (int, error){
	"bodies":  runBodies,
	"readers": runReaders,
	"paths":   runPaths,
	"cut":     runCut,
	"trial":   runTrial,
	"equal":   runEqual,
	"grey":    runGrey,
	"tenants": runTenants,
	"ended":   runEnded,
	"heads":   runHeads,
	"prompts": runPrompts,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(failed)
	}
	runtime.LockOSThread() // the instances end with the thread that started them
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*world) (int, error), recordPath string) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	w.record("trouble: %t", trouble)
	code, err := play(w)
	if err != nil {
		w.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	w.record("exit code %d", code)
	return code
}
