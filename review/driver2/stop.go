package main

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"yuccausher/internal/standin/replica"
)

const (
	postRoute  = `{"name":"post","host":"case.example","prefix":"/post/","kind":"unsafe","timeout_ms":6000,"goal_ms":800,"prio":0,"service":"app","attempts":1}`
	appService = `{"name":"app","health_path":"/health","max_conns":500}`

	postWork    = 400 * time.Millisecond
	postClients = 12
	stopAfter   = 3 * time.Second
	// secondAfter is the time between the two signals.
	secondAfter = time.Second
	calmAfter   = 4 * time.Second
)

// plannedStop shows whether a planned stop cuts requests if the signal comes twice.
func plannedStop(w *world, isTrouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var servers []*replica.Replica
	for n := range 4 {
		r, err := replica.Listen("127.0.0.1:0", replica.Options{ID: "a" + strconv.Itoa(n), Slots: 8, Work: postWork})
		if err != nil {
			return false, err
		}
		defer r.Close()
		servers = append(servers, r)
		w.register(ctx, r.ID(), "app", r.Address(), "v1")
	}
	w.configure(7, postRoute, appService, "")
	if err := w.addHosts(2); err != nil {
		return false, err
	}
	leaving, other := w.hosts[0], w.hosts[1]
	// The platform asks each second whether a host is ready, and sends new connections to it until
	// two answers in a row were not 200.
	var isOut atomic.Bool
	go func() {
		for misses := 0; ctx.Err() == nil; time.Sleep(time.Second) {
			if misses++; leaving.isReady() {
				misses = 0
			}
			isOut.Store(misses >= 2)
		}
	}()
	var mu sync.Mutex
	cut := make(map[string]string)
	var all sync.WaitGroup
	end := time.Now().Add(stopAfter + secondAfter + calmAfter)
	for n := range postClients {
		all.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				h := leaving
				if (n+i)%2 == 1 || isOut.Load() {
					h = other
				}
				a := attempt{method: "POST", path: "/post/2f", deadline: 6 * time.Second, body: []byte("posting")}.send(ctx, h.front)
				w.record.logf("request %s at %s: %s", a.id, h.name, a)
				if a.status == 0 || !a.isWhole {
					mu.Lock()
					cut[a.id] = h.name
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(stopAfter)
	w.record.logf("%s gets SIGTERM", leaving.name)
	leaving.signal(syscall.SIGTERM)
	if isTrouble {
		time.Sleep(secondAfter)
		w.record.logf("%s gets SIGTERM again", leaving.name)
		leaving.signal(syscall.SIGTERM)
	}
	all.Wait()
	lost := 0
	for _, r := range servers {
		for _, run := range r.Runs() {
			if h := cut[run.RequestID]; h != "" {
				lost++
				w.record.logf("server %s ran request %s, whose connection to %s ended without an answer", r.ID(), run.RequestID, h)
			}
		}
	}
	w.record.logf("requests that were passed on and not answered: %d; connections that ended: %d", lost, len(cut))
	fmt.Printf("requests that were passed on and not answered: %d\n", lost)
	return lost > 0, nil
}
