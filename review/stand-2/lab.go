// Command lab holds the stand-ins of the second review, and the scripts that use them.
//
// "lab worker" is a worker in a process of its own, so that it can be killed. Everything else
// (the platform's store, callers, the operator) runs in the process of the case.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: lab worker|CASE [flags]")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	run, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run))
}
