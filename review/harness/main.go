// Command harness runs the scripted cases of the review: it starts the project's program as
// separate processes against stand-ins on loopback, disturbs them as the case says, and
// checks one rule by what callers, servers and the platform have seen.
//
//	harness CASE RECORD    runs a case; TROUBLE=0 in the environment leaves out the disruption
//	harness server ...     runs one stand-in server; see server.go
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCouldNt = 2
)

// errCouldNotRun reports that a case did not come to the moment that it checks.
var errCouldNotRun = errors.New("the case could not run")

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world) (bool, error){
	"stale-order":    runStaleOrder,
	"crashed-stream": runCrashedStream,
	"deep-part":      runDeepPart,
	"bodies":         runBodies,
	"crashed-answer": runCrashedAnswer,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) > 0 && args[0] == "server" {
		return runServer(args[1:])
	}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitCouldNt
	}
	w, err := newWorld(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNt
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.close()
		os.Exit(exitCouldNt)
	}()
	broken, err := cases[args[0]](w)
	switch {
	case err != nil:
		w.record.summary("could not run: %v", err)
		return exitCouldNt
	case broken:
		w.record.summary("the rule was broken")
		return exitBroken
	}
	w.record.summary("the rule held")
	return exitHeld
}
