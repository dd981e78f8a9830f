package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	postingWork   = 800 * time.Millisecond
	postingBefore = 3 * time.Second
)

// secondSigterm sends postings to a host that is stopped in order. The order to stop comes twice.
func secondSigterm(w *world, trouble bool) (verdict, error) {
	w.configure(route("post", "unsafe", "app", 6000, 800, ""))
	for range 3 {
		if _, err := w.addReplica("app", plain(postingWork)); err != nil {
			return verdict{}, err
		}
	}
	if err := w.addHosts(2); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableWindow + time.Second)
	h := w.hosts[0]
	answers := make(map[string]answer)
	var mu sync.Mutex
	var clients sync.WaitGroup
	stopAt := time.Now().Add(postingBefore)
	for i := 0; time.Now().Before(stopAt); i++ {
		id := fmt.Sprintf("p%03d", i)
		clients.Go(func() {
			a := w.send(h.front, request{method: http.MethodPost, path: "/post/x", id: id, body: "posting " + id, deadline: 6 * time.Second})
			mu.Lock()
			answers[id] = a
			mu.Unlock()
		})
		time.Sleep(100 * time.Millisecond)
	}
	h.signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(300 * time.Millisecond)
		h.signal(syscall.SIGTERM)
	}
	clients.Wait()
	runs := w.allRuns()
	cut := 0
	for id, a := range answers {
		if len(runs[id]) > 0 && !a.isWhole {
			cut++
		}
	}
	return verdict{cut > 0, fmt.Sprintf("of %d postings, %d ran at a replica and their connections ended without an answer", len(answers), cut)}, nil
}
