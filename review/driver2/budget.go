package main

import (
	"context"
	"fmt"
	"strconv"
	"syscall"
	"time"

	"yuccausher/internal/standin/replica"
)

const (
	eventTokens = 20
	turnEvents  = 5
	turnTokens  = eventTokens * turnEvents
	tokenBudget = 8 * turnTokens
	maxTurns    = 30
)

const (
	modelRoute = `{"name":"turns","host":"case.example","prefix":"/turns/","kind":"stream","timeout_ms":3000,"goal_ms":400,"prio":0,"service":"models","attempts":2,"keep_context":false,"retention_s":60,"sticky":true,"resumable":false,"gap_goal_ms":250}`
)

// outageBudget shows whether a program stays within its budget if all processes are killed while the
// store is down.
func outageBudget(w *world, isTrouble bool) (broken bool, _ error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var servers []*replica.Replica
	for n := range 2 {
		r, err := replica.Listen("127.0.0.1:0", replica.Options{ID: "m" + strconv.Itoa(n), Slots: 8, Work: 15 * time.Millisecond, Events: turnEvents, Pause: 5 * time.Millisecond})
		if err != nil {
			return false, err
		}
		defer r.Close()
		servers = append(servers, r)
		w.register(ctx, r.ID(), "models", r.Address(), "v1")
	}
	w.configure(7, modelRoute, modelService, "")
	if err := w.addHosts(6); err != nil {
		return false, err
	}
	spent := 0
	turn := func(n int) answer {
		h := w.hosts[n%len(w.hosts)]
		a := attempt{method: "POST", path: "/turns/2f", deadline: 3 * time.Second, body: []byte("turn " + strconv.Itoa(n)), header: map[string]string{
			"Accept": "text/event-stream", "Program": "p1", "Session": "s1", "Finish-Ms": "60000",
			"Token-Budget": strconv.Itoa(tokenBudget), "Tokens": "50," + strconv.Itoa(turnTokens),
		}}.send(ctx, h.front)
		spent += a.events() * eventTokens
		w.record.logf("turn %d at %s: %s; tokens handed out so far: %d", n, h.name, a, spent)
		return a
	}
	// loop sends turns until the budget is said to be spent, or several in a row fail.
	n := 0
	loop := func(most int) {
		for failed := 0; n < maxTurns && most > 0 && failed < 3; n++ {
			a := turn(n)
			if a.status == 402 {
				n++
				return
			}
			failed++
			if a.status == 200 {
				failed = 0
				most--
			} else {
				time.Sleep(300 * time.Millisecond)
			}
		}
	}
	if isTrouble {
		w.setStoreDown(true)
		time.Sleep(2 * time.Second)
	}
	loop(maxTurns)
	if isTrouble {
		w.record.logf("all processes are killed")
		for _, h := range w.hosts {
			h.signal(syscall.SIGKILL)
			<-h.ended
		}
		time.Sleep(time.Second)
		w.setStoreDown(false)
		w.record.logf("the processes start again")
		for _, h := range w.hosts {
			if err := h.start(); err != nil {
				return false, err
			}
		}
		if err := w.awaitReady(w.hosts...); err != nil {
			return false, err
		}
	}
	loop(maxTurns)
	runs := 0
	for _, r := range servers {
		for _, run := range r.Runs() {
			runs++
			w.record.logf("server %s ran request %s", r.ID(), run.RequestID)
		}
	}
	limit := tokenBudget + turnTokens
	w.record.logf("runs %d, tokens handed out %d, budget %d, the most of one turn %d", runs, spent, tokenBudget, turnTokens)
	fmt.Printf("tokens handed out: %d, allowed: %d\n", spent, limit)
	return spent > limit, nil
}
