// Command driver plays the cases of the review. It starts hosts of the project as separate
// processes on loopback addresses, with stand-ins of the store, the replicas and the clients in
// this process. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	why    string
}

// cases maps names to the courses of cases. With trouble unset they do the same without the
// disruption. The last four are findings of the report beside its five cases.
var cases = map[string]func(w *world, trouble bool) (verdict, error){
	"stranded-claims": strandedClaims,
	"second-sigterm":  secondSigterm,
	"late-return":     lateReturn,
	"new-version":     newVersion,
	"half-close":      halfClose,
	"lost-loans":      lostLoans,
	"failed-503":      failed503,
	"lapsed":          lapsed,
	"resend-draining": resendDraining,
}

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/yuccausher", "program of the project")
	folder := flag.String("folder", ".", "folder for record.txt")
	flag.Parse()
	os.Exit(play(*name, *binary, *folder))
}

func play(name, binary, folder string) int {
	course := cases[name]
	if course == nil {
		fmt.Fprintln(os.Stderr, "no case", name)
		return 2
	}
	binary, err := filepath.Abs(binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w, err := newWorld(binary, filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.record("case %s, trouble %v", name, trouble)
	v, err := course(w, trouble)
	if err != nil {
		w.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.record("rule broken: %v: %s", v.broken, v.why)
	fmt.Printf("%s: rule broken: %v: %s\n", name, v.broken, v.why)
	if v.broken {
		return 1
	}
	return 0
}
