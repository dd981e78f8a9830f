// Command driver3 plays the scripted cases of the third review. Each case starts the project's own program as
// separate processes on loopback addresses, with stand-ins of the store, the servers and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	held    = 0
	broken  = 1
	invalid = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*world) bool{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		os.Exit(invalid)
	}
	os.Exit(playCase(play, *record))
}

// caseTime bounds a case.
const caseTime = 110 * time.Second

// playCase plays a case and ends all processes that it has started.
func playCase(play func(*world) bool, record string) (code int) {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return invalid
	}
	defer w.close()
	defer func() {
		if v := recover(); v != nil {
			w.note("the case could not run: %v", v)
			code = invalid
		}
	}()
	late := time.AfterFunc(caseTime, func() {
		w.note("the case took too long")
		w.close()
		os.Exit(invalid)
	})
	defer late.Stop()
	if play(w) {
		w.note("RESULT: the rule was broken")
		return broken
	}
	w.note("RESULT: the rule held")
	return held
}
