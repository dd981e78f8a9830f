package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// newVersion lets a replica start again with another software version, and 0.55 of the connections of
// clients be reset a moment later. The clients take their streams up at the other hosts.
func newVersion(w *world, trouble bool) (verdict, error) {
	const events, clients, down = 20, 40, 500 * time.Millisecond
	const pause = 60 * time.Millisecond
	w.configure(route("turn", "stream", "models", 3000, 200, `,"sticky":true,"resumable":true,"gap_goal_ms":150`))
	for range 4 {
		if _, err := w.addReplica("models", stream(events, pause, "v1")); err != nil {
			return verdict{}, err
		}
	}
	if err := w.addHosts(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableWindow + 2*time.Second)
	if trouble {
		if err := w.replicas[0].restart(down, "v2", stream(events, pause, "v2")); err != nil {
			return verdict{}, err
		}
	}
	var mu sync.Mutex
	mixed := 0
	var streams sync.WaitGroup
	for i := range clients {
		streams.Go(func() {
			id := fmt.Sprintf("s%03d", i)
			q := request{method: http.MethodPost, path: "/turn/x", id: id, body: "turn " + id, deadline: 3 * time.Second,
				header: []string{"Session: " + id, "Model: m", "Tokens: 300,280", "Prompt-Prefix: 5c1e07a2:200," + id + ":100"}}
			if i*11%20 < 11 {
				q.resetAfterEvents = 8
			}
			a := w.send(w.hosts[0].front, q)
			body := string(a.body)
			for try := 1; try <= 5 && strings.Count(body, "\n\n") < events; try++ {
				q.id, q.resetAfterEvents = fmt.Sprintf("%s-%d", id, try), 0
				q.header = append(q.header[:4:4], "Last-Event-Id: "+strconv.Itoa(strings.Count(body, "\n\n")), "Resumes: "+id)
				if a = w.send(w.hosts[1+i%2].front, q); a.status == http.StatusOK {
					body += string(a.body)
				} else {
					time.Sleep(200 * time.Millisecond)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if strings.Contains(body, "by v1") && strings.Contains(body, "by v2") {
				w.record("%s holds events of both versions", id)
				mixed++
			}
		})
	}
	streams.Wait()
	return verdict{mixed > 2, fmt.Sprintf("%d of %d streams hold events of two software versions", mixed, clients)}, nil
}
