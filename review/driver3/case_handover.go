package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["handover"] = playHandover }

// playHandover partitions one machine from all servers and another one from the store. Then a route moves to
// another service and a route is added.
func playHandover(w *world) bool {
	w.hasPaths = true
	for range 2 {
		w.addServer("app", serverOptions{work: 120 * time.Millisecond})
		w.addServer("other", serverOptions{work: 120 * time.Millisecond})
	}
	w.configure(routeOf("lookup", "safe", "app", ""))
	w.startHosts(3)
	a, b := w.hosts[0], w.hosts[1]
	if w.trouble {
		w.cutFromServers(a)
		b.storePath.cut()
		w.note("%s is partitioned from the store", b.name)
	}
	time.Sleep(time.Second)
	w.configure(routeOf("lookup", "safe", "other", ""), routeOf("added", "safe", "other", ""))
	// config_apply_ms is 2,000.
	time.Sleep(2100 * time.Millisecond)
	var sending sync.WaitGroup
	var mu sync.Mutex
	isBroken := false
	// effectAt is when a server first ran a request of this machine as only the new version allows.
	var effectAt time.Time
	for i := range 40 {
		name := []string{"lookup", "added"}[i%2]
		sending.Go(func() {
			sentAt := time.Now()
			r := w.send(a, request{method: "GET", path: fmt.Sprintf("/%s/%d", name, i)}, nil)
			if r.status == 404 {
				w.note("CONFIG: request %s for the added route, sent more than 2 s after the acknowledgement, is refused with 404", r.id)
				mu.Lock()
				isBroken = true
				mu.Unlock()
			}
			mu.Lock()
			defer mu.Unlock()
			isOld := r.status == 404
			for _, run := range w.runsOf(r.id) {
				if strings.HasPrefix(run.server, "i-app") {
					w.note("CONFIG: request %s, sent more than 2 s after the acknowledgement, is run by the old service, at %s", r.id, run.server)
					isBroken, isOld = true, true
				} else if effectAt.IsZero() || run.at.Before(effectAt) {
					effectAt = run.at
				}
			}
			if isOld && !effectAt.IsZero() && sentAt.Sub(effectAt) > 250*time.Millisecond {
				w.note("CONFIG: the machine regresses: a server saw the effect of the new version %v before request %s was sent", sentAt.Sub(effectAt), r.id)
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	sending.Wait()
	return isBroken
}
