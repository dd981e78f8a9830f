package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

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
