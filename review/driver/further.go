package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"yuccausher/internal/standin/metastore"
)

// lostLoans lets a program spend while the store is down, kills all hosts before it is back, and
// lets the program go on.
func lostLoans(w *world, trouble bool) (verdict, error) {
	const (
		budget, turn = 5600, 280
		events       = turn / eventTokens
	)
	w.configure(route("turn", "stream", "models", 3000, 200, `,"keep_context":false,"retention_s":60,"sticky":true,"resumable":true,"gap_goal_ms":150`))
	for range 3 {
		if _, err := w.addReplica("models", stream(events, 5*time.Millisecond, "v1")); err != nil {
			return verdict{}, err
		}
	}
	if err := w.addHosts(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableWindow + 3*time.Second)
	spent, turns := 0, 0
	// takeTurns sends turns of the program, to the hosts by turns, until it is told that its
	// budget is spent or until a time.
	takeTurns := func(until time.Time) {
		for refused := 0; refused < 3 && time.Now().Before(until); {
			h := w.hosts[turns%len(w.hosts)]
			turns++
			a := w.send(h.front, request{
				method: http.MethodPost, path: "/turn/x", id: fmt.Sprintf("t%03d", turns), body: "turn", deadline: 3 * time.Second,
				header: []string{"Program: 3fa81c", "Session: 77d20b", "Finish-Ms: 9000", "Model: m", "Tokens: 300," + strconv.Itoa(turn), "Prompt-Prefix: 5c1e07a2:200,91bd3f06:100", "Token-Budget: " + strconv.Itoa(budget)},
			})
			spent += a.events() * eventTokens
			switch a.status {
			case http.StatusPaymentRequired:
				refused++
				time.Sleep(1100 * time.Millisecond)
			case http.StatusOK:
			default:
				time.Sleep(200 * time.Millisecond)
			}
		}
	}
	if trouble {
		w.store.SetFaults(metastore.EveryHost, metastore.Faults{Refuse: true})
		down := time.Now()
		w.record("the store is down")
		time.Sleep(1200 * time.Millisecond)
		takeTurns(down.Add(5 * time.Second))
		w.record("%d tokens were handed out in the outage", spent)
		var kills sync.WaitGroup
		for _, h := range w.hosts {
			w.record("%s is killed", h.name)
			kills.Go(h.kill)
		}
		kills.Wait()
		time.Sleep(500 * time.Millisecond)
		for _, h := range w.hosts {
			if err := h.start(); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(time.Until(down.Add(6500 * time.Millisecond)))
		w.store.SetFaults(metastore.EveryHost, metastore.Faults{})
		w.record("the store is back")
		if err := w.awaitReady(); err != nil {
			return verdict{}, err
		}
	}
	takeTurns(time.Now().Add(30 * time.Second))
	return verdict{spent > budget+turn, fmt.Sprintf("%d tokens were handed to the client, of a budget of %d and a turn of %d at most", spent, budget, turn)}, nil
}

// failed503 lets one of seven replicas run postings and fail two of five with a 503 that does not
// say that they have not run.
func failed503(w *world, trouble bool) (verdict, error) {
	const postings, atOnce = 210, 14
	w.configure(route("post", "unsafe", "app", 6000, 800, ""))
	answer := plain(50 * time.Millisecond)
	var count atomic.Int64
	grey := func(rw http.ResponseWriter, r *http.Request) {
		if !trouble || count.Add(1)%5 < 3 {
			answer(rw, r)
			return
		}
		time.Sleep(50 * time.Millisecond)
		rw.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(rw, "failed")
	}
	for i := range 7 {
		f := answer
		if i == 0 {
			f = grey
		}
		if _, err := w.addReplica("app", f); err != nil {
			return verdict{}, err
		}
	}
	if err := w.addHosts(2); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableWindow + time.Second)
	var mu sync.Mutex
	var promised []string
	var clients sync.WaitGroup
	for c := range atOnce {
		clients.Go(func() {
			for i := c; i < postings; i += atOnce {
				id := fmt.Sprintf("p%03d", i)
				a := w.send(w.hosts[i%2].front, request{method: http.MethodPost, path: "/post/x", id: id, body: "posting " + id, deadline: 6 * time.Second})
				if a.status == http.StatusServiceUnavailable {
					mu.Lock()
					promised = append(promised, id)
					mu.Unlock()
				}
			}
		})
	}
	clients.Wait()
	runs := w.allRuns()
	ran := 0
	for _, id := range promised {
		if len(runs[id]) > 0 {
			ran++
		}
	}
	return verdict{ran > 0, fmt.Sprintf("%d postings, %d were answered 503, %d of these have run", postings, len(promised), ran)}, nil
}

// lapsed lets the connections to the store fall silent and a replica leave without a word.
func lapsed(w *world, trouble bool) (verdict, error) {
	w.configure(route("look", "safe", "app", 1500, 250, ""))
	for range 2 {
		if _, err := w.addReplica("app", plain(20*time.Millisecond)); err != nil {
			return verdict{}, err
		}
	}
	if err := w.addHosts(1); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableWindow + 2*time.Second)
	h := w.hosts[0]
	// The host has just read the entries over one of the connections that it keeps.
	<-h.storePath.targetReads
	time.Sleep(100 * time.Millisecond)
	silentAt := time.Now()
	if trouble {
		w.record("%d connections to the store fall silent", h.storePath.silence(stableWindow))
	}
	time.Sleep(300 * time.Millisecond)
	gone := w.replicas[0]
	ackedAt := gone.leave()
	var clients sync.WaitGroup
	for i := 0; time.Since(silentAt) < 8*time.Second; i++ {
		id := fmt.Sprintf("l%03d", i)
		clients.Go(func() {
			w.send(h.front, request{method: http.MethodGet, path: "/look/x", id: id, deadline: 1500 * time.Millisecond})
		})
		time.Sleep(20 * time.Millisecond)
	}
	clients.Wait()
	// The host is in touch again from the stable window after its connections fell silent. Requests
	// were taken from their clients at most 50 ms before.
	bound := ackedAt.Add(drainTime)
	if inTouch := silentAt.Add(stableWindow); trouble && inTouch.After(bound) {
		bound = inTouch
	}
	late := gone.runsAfter(bound.Add(50 * time.Millisecond))
	last := time.Duration(0)
	if len(late) > 0 {
		last = late[len(late)-1].at.Sub(ackedAt)
	}
	return verdict{len(late) > 0, fmt.Sprintf("%d requests reached the replica later than allowed, the last one %.2f s after its removal was accepted", len(late), last.Seconds())}, nil
}

// resendDraining lets an answer be lost at a replica that is draining by then.
func resendDraining(w *world, trouble bool) (verdict, error) {
	const work = 2500 * time.Millisecond
	w.configure(route("look", "safe", "app", 6000, 2000, ""))
	var leaving *replica
	answer := func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/look/long" {
			plain(10*time.Millisecond)(rw, r)
			return
		}
		if !trouble {
			plain(work)(rw, r)
			return
		}
		time.Sleep(work)
		panic(http.ErrAbortHandler)
	}
	var err error
	if leaving, err = w.addReplica("app", answer); err != nil {
		return verdict{}, err
	}
	if err := w.addHosts(1); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableWindow + time.Second)
	h := w.hosts[0]
	w.send(h.front, request{method: http.MethodGet, path: "/look/short", id: "first", deadline: 6 * time.Second})
	if _, err := w.addReplica("app", plain(10*time.Millisecond)); err != nil {
		return verdict{}, err
	}
	var client sync.WaitGroup
	client.Go(func() {
		w.send(h.front, request{method: http.MethodGet, path: "/look/long", id: "long", deadline: 6 * time.Second})
	})
	time.Sleep(200 * time.Millisecond)
	ackedAt := leaving.drain()
	client.Wait()
	late := leaving.runsAfter(ackedAt.Add(drainTime))
	return verdict{len(late) > 0, fmt.Sprintf("%d requests reached the replica later than %v after it was draining", len(late), drainTime)}, nil
}
