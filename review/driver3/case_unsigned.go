package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["unsigned"] = playUnsigned }

// playUnsigned lets one of two servers spoil one in 50 of its answers: a letter in the name of a header is wrong.
func playUnsigned(w *world) bool {
	spoiled := serverOptions{work: 20 * time.Millisecond}
	if w.trouble {
		spoiled.spoilEach = 50
	}
	w.addServer("app", spoiled)
	w.addServer("app", serverOptions{work: 20 * time.Millisecond})
	w.configure(routeOf("lookup", "safe", "app", ""))
	w.startHosts(2)
	const requests = 1000
	var sending sync.WaitGroup
	replies := make([]reply, requests)
	for i := range replies {
		sending.Go(func() {
			replies[i] = w.send(w.hosts[i%2], request{method: "GET", path: fmt.Sprintf("/lookup/%d", i)}, nil)
		})
		time.Sleep(3 * time.Millisecond)
	}
	sending.Wait()
	isBroken := false
	for _, r := range replies {
		if r.status/100 == 2 && r.header.Get("Server-Stamp") == "" {
			w.note("MIXED: request %s got a success without Server-Stamp: %v", r.id, r.header)
			isBroken = true
		}
	}
	return isBroken
}
