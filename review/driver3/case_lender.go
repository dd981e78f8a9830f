package main

import (
	"fmt"
	"sync"
	"time"

	"yuccausher/internal/standin/metastore"
)

func init() { cases["lender"] = playLender }

// program is a client's program, which runs one turn after the other.
type program struct {
	w    *world
	name string

	mu     sync.Mutex
	tokens int
}

const (
	lenderTurn   = 280
	lenderBudget = 14 * lenderTurn
)

// turn runs a turn at a host and returns the status of its answer, zero if there was none.
func (p *program) turn(h *host) int {
	r := p.w.send(h, request{method: "POST", path: "/turns/x", body: "prompt of " + p.name, header: map[string]string{
		"Accept": "text/event-stream", "Program": p.name, "Session": p.name, "Finish-Ms": "60000", "Token-Budget": fmt.Sprint(lenderBudget), "Tokens": fmt.Sprintf("1460,%d", lenderTurn), "Model": "m",
	}}, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens += eventTokens * len(events(r.body))
	return r.status
}

// turnsUntil runs turns at some hosts by turns until a time.
func (p *program) turnsUntil(hosts []*host, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		if p.turn(hosts[i%len(hosts)]) != 200 {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// each calls f for all programs at the same time.
func each(list []*program, f func(*program)) {
	var running sync.WaitGroup
	for _, p := range list {
		running.Go(func() { f(p) })
	}
	running.Wait()
}

// playLender lets the store turn one machine of four away, and then all of them for less than two seconds.
// Before it is back, all processes are killed.
func playLender(w *world) bool {
	for range 3 {
		w.addServer("models", serverOptions{events: lenderTurn / eventTokens, pause: 2 * time.Millisecond})
	}
	w.configure(routeOf("turns", "stream", "models", `,"resumable":true,"gap_goal_ms":200,"keep_context":false,"retention_s":60`))
	w.startHosts(4)
	turnedAway, others := w.hosts[0], w.hosts[1:]
	var programs []*program
	for i := range 24 {
		programs = append(programs, &program{w: w, name: fmt.Sprintf("3fa8%02x", i)})
	}
	each(programs, func(p *program) { p.turn(w.hosts[1]) })
	if w.trouble {
		w.store.SetFaults(turnedAway.name, metastore.Faults{Refuse: true})
		w.note("the store turns %s away", turnedAway.name)
		each(programs, func(p *program) { p.turn(turnedAway) })
		time.Sleep(3300 * time.Millisecond)
		each(programs, func(p *program) { p.turn(others[0]) })
		w.store.SetFaults(metastore.EveryHost, metastore.Faults{Refuse: true})
		w.note("the store is down")
		down := time.Now()
		each(programs, func(p *program) { p.turnsUntil(others, down.Add(1500*time.Millisecond)) })
		for _, h := range w.hosts {
			_ = h.process.Process.Kill()
		}
		for _, h := range w.hosts {
			h.kill()
		}
		w.note("all processes are killed")
		w.store.SetFaults(metastore.EveryHost, metastore.Faults{})
		w.store.SetFaults(turnedAway.name, metastore.Faults{})
		w.note("the store is back, and serves all machines")
		for _, h := range w.hosts {
			h.start()
		}
		for _, h := range w.hosts {
			h.awaitReady()
		}
		time.Sleep(8 * time.Second)
	}
	each(programs, func(p *program) {
		for refusals := 0; refusals < 10; {
			if p.turn(w.hosts[2]) != 200 {
				refusals++
				time.Sleep(400 * time.Millisecond)
			}
		}
	})
	isBroken := false
	for _, p := range programs {
		w.note("program %s has got %d tokens; its budget is %d, and a turn takes %d at most", p.name, p.tokens, lenderBudget, lenderTurn)
		if p.tokens > lenderBudget+lenderTurn {
			w.note("BUDGET: program %s has got more than its budget and a turn", p.name)
			isBroken = true
		}
	}
	return isBroken
}
