package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"yuccausher/internal/standin/metastore"
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

// halfClose lets two of five clients leave before their deadline by closing their sending side,
// while they wait for the answer or within their body.
func halfClose(w *world, trouble bool) (verdict, error) {
	w.configure(route("post", "unsafe", "app", 6000, 800, ""))
	for range 2 {
		if _, err := w.addReplica("app", plain(500*time.Millisecond)); err != nil {
			return verdict{}, err
		}
	}
	if err := w.addHosts(2); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableWindow + time.Second)
	var waiting, sending int
	for i := range 20 {
		q := request{method: http.MethodPost, path: "/post/x", id: fmt.Sprintf("p%03d", i), body: "posting", deadline: 6 * time.Second}
		leaves, isSending := trouble && i%5 < 2, i%5 == 1
		if leaves {
			q.closeWriteAfter = 200 * time.Millisecond
			if isSending {
				q.missingBytes = 100
			}
		}
		a := w.send(w.hosts[i%2].front, q)
		switch {
		case a.status/100 != 2 || a.stamp != "":
		case isSending:
			sending++
		default:
			waiting++
		}
	}
	return verdict{waiting+sending > 0, fmt.Sprintf("of 20 clients, %d got a success without a replica's stamp for a posting that was sent whole, %d for one that was not", waiting, sending)}, nil
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

// noStamp lets a replica answer without its stamp.
func noStamp(w *world, trouble bool) (verdict, error) {
	w.configure(route("post", "unsafe", "app", 6000, 800, ""))
	if _, err := w.addReplica("app", func(rw http.ResponseWriter, r *http.Request) {
		if trouble {
			rw.Header().Del("Server-Stamp")
		}
		plain(50*time.Millisecond)(rw, r)
	}); err != nil {
		return verdict{}, err
	}
	if err := w.addHosts(1); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableWindow)
	a := w.send(w.hosts[0].front, request{method: http.MethodPost, path: "/post/x", id: "p", body: "posting", deadline: 6 * time.Second})
	return verdict{a.status/100 == 2 && a.stamp == "", a.String()}, nil
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

// strandedClaims kills all hosts right after programs got a whole turn, and lets the programs go on.
func strandedClaims(w *world, trouble bool) (verdict, error) {
	const (
		programs, events = 12, 10
		budget, turn     = 900, 572
		recoverTime      = 12 * time.Second
	)
	w.configure(route("talk", "stream", "models", 3000, 250, `,"keep_context":true,"retention_s":60,"sticky":true,"resumable":false,"gap_goal_ms":250`))
	for range 3 {
		if _, err := w.addReplica("models", stream(events, 10*time.Millisecond, "v1")); err != nil {
			return verdict{}, err
		}
	}
	if err := w.addHosts(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableWindow + 3*time.Second)
	take := func(program, id, previous string, host int) answer {
		q := request{method: http.MethodPost, path: "/talk/x", id: id, body: "input of " + id, deadline: 3 * time.Second,
			header: []string{"Program: " + program, "Session: s" + program, "Finish-Ms: 15000", "Model: m", "Tokens: 300," + strconv.Itoa(turn), "Prompt-Prefix: 5c1e07a2:200," + program + ":100", "Token-Budget: " + strconv.Itoa(budget)}}
		if previous != "" {
			q.header = append(q.header, "Previous-Turn: "+previous)
		}
		return w.send(w.hosts[host%len(w.hosts)].front, q)
	}
	isWhole := make([]bool, programs)
	var first sync.WaitGroup
	for i := range programs {
		first.Go(func() {
			a := take(fmt.Sprintf("p%d", i), fmt.Sprintf("p%d-first", i), "", i)
			isWhole[i] = a.status == http.StatusOK && a.isWhole && a.events() == events
		})
	}
	first.Wait()
	if trouble {
		var kills sync.WaitGroup
		for _, h := range w.hosts {
			w.record("%s is killed", h.name)
			kills.Go(h.kill)
		}
		kills.Wait()
		time.Sleep(time.Second)
		for _, h := range w.hosts {
			if err := h.start(); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := w.awaitReady(); err != nil {
		return verdict{}, err
	}
	backAt := time.Now()
	var next sync.WaitGroup
	for i := range programs {
		next.Go(func() {
			for try := 1; time.Since(backAt) < recoverTime; try++ {
				id := fmt.Sprintf("p%d-next-%d", i, try)
				if a := take(fmt.Sprintf("p%d", i), id, fmt.Sprintf("p%d-first", i), i+try); a.status == http.StatusOK {
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	next.Wait()
	served := take("other", "other-first", "", 0)
	runs := w.allRuns()
	whole, lost := 0, 0
	for i := range programs {
		if !isWhole[i] {
			continue
		}
		whole++
		hasRun := false
		for id := range runs {
			hasRun = hasRun || strings.HasPrefix(id, fmt.Sprintf("p%d-next-", i))
		}
		if !hasRun {
			lost++
		}
	}
	return verdict{lost > 0 && served.status == http.StatusOK, fmt.Sprintf("of %d programs that got a whole turn of %d tokens, %d reached no replica with their next turn in %v, budget %d, a turn %d at most; first turn of another program: status %d",
		whole, events*eventTokens, lost, recoverTime, budget, turn, served.status)}, nil
}

// lateReturn lets the store come back to one host a second later than to the others, while programs
// with many turns at once run away.
func lateReturn(w *world, trouble bool) (verdict, error) {
	const (
		programs, events = 12, 20
		budget, turn     = 2800, 280
	)
	w.configure(route("turn", "stream", "models", 3000, 200, `,"keep_context":false,"retention_s":60,"sticky":true,"resumable":true,"gap_goal_ms":150`))
	for range 4 {
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
		time.Sleep(500 * time.Millisecond)
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
