// Command driver2 plays the cases of the second review: it starts hosts as separate processes, with
// stand-ins of the store, the servers and the clients, and judges what clients and servers saw.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// cases returns the cases by name, with the memory of a host in MB.
func cases() map[string]testCase {
	return map[string]testCase{
		"leaving-callers": {ramMB: 154, run: leavingCallers},
		"stream-versions": {ramMB: 144, run: streamVersions},
		"outage-budget":   {ramMB: 144, run: outageBudget},
		"endless-heads":   {ramMB: 154, run: endlessHeads},
	}
}

// testCase returns true if the rule was broken.
type testCase struct {
	ramMB int
	run   func(w *world, isTrouble bool) (bool, error)
}

func main() { os.Exit(run(os.Args)) }

func run(args []string) int {
	if len(args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE BINARY RECORD")
		return exitFailed
	}
	c, ok := cases()[args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", args[1])
		return exitFailed
	}
	binary, err := filepath.Abs(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	r, err := newRecord(args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	w, err := newWorld(binary, r, c.ramMB)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	isBroken, err := c.run(w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case isBroken:
		r.logf("the rule was broken")
		return exitBroken
	}
	r.logf("the rule held")
	return exitHeld
}
