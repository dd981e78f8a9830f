package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"yuccausher/internal/standin/metastore"
)

// lateReturn lets the store come back to one host a second later than to the others, while programs
// with many turns at once run away.
func lateReturn(w *world, trouble bool) (verdict, error) {
	const (
		programs, events = 16, 20
		budget, turn     = 2800, 280
	)
	w.configure(route("turn", "stream", "models", 3000, 200, `,"keep_context":false,"retention_s":60,"sticky":true,"resumable":true,"gap_goal_ms":150`))
	for range 9 {
		if _, err := w.addReplica("models", stream(events, 20*time.Millisecond, "v1")); err != nil {
			return verdict{}, err
		}
	}
	if err := w.addHosts(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableWindow + 3*time.Second)
	var mu sync.Mutex
	var count int
	var spent [programs]int
	take := func(program, host int) int {
		mu.Lock()
		count++
		id := fmt.Sprintf("p%d-%d", program, count)
		mu.Unlock()
		a := w.send(w.hosts[host].front, request{
			method: http.MethodPost, path: "/turn/x", id: id, body: "turn " + id, deadline: 3 * time.Second,
			header: []string{fmt.Sprintf("Program: program%d", program), "Session: " + id, "Finish-Ms: 9000", "Model: m", "Tokens: 300," + strconv.Itoa(turn), "Prompt-Prefix: 5c1e07a2:200,91bd3f06:100", "Token-Budget: " + strconv.Itoa(budget)},
		})
		mu.Lock()
		spent[program] += a.events() * eventTokens
		mu.Unlock()
		return a.status
	}
	if trouble {
		w.record("the store is down")
		w.store.SetFaults(metastore.EveryHost, metastore.Faults{Refuse: true})
		time.Sleep(3 * time.Second)
	}
	var turns sync.WaitGroup
	for p := range programs {
		turns.Go(func() { take(p, 0) })
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		w.store.SetFaults("host-0", metastore.Faults{Refuse: true})
		w.store.SetFaults(metastore.EveryHost, metastore.Faults{})
		w.record("the store serves all hosts but host-0")
		time.Sleep(700 * time.Millisecond)
	}
	for p := range programs {
		for i := range 15 {
			host := 0
			if i%3 > 0 {
				host = i % 3
			}
			turns.Go(func() { take(p, host) })
		}
	}
	time.Sleep(500 * time.Millisecond)
	w.store.SetFaults("host-0", metastore.Faults{})
	w.record("the store serves all hosts")
	turns.Wait()
	for p := range programs {
		for i := 0; i < 12 && take(p, i%3) == http.StatusOK; i++ {
			continue
		}
	}
	over, most := 0, 0
	for p := range programs {
		most = max(most, spent[p])
		if spent[p] > budget+turn {
			over++
		}
	}
	w.record("tokens handed out by program: %v", spent)
	return verdict{over > 0, fmt.Sprintf("%d of %d programs got more than their budget of %d and a turn of %d; the most was %d", over, programs, budget, turn, most)}, nil
}
