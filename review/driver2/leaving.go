package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	leavingServers  = 2
	leavingEvents   = 5
	leavingPause    = 40 * time.Millisecond
	leavingClients  = 30
	patientClients  = 60
	patientDeadline = 3 * time.Second
	// Callers that give up leave after leavingTime, which is about what a turn takes, and leavingSpread at
	// most.
	leavingTime   = leavingEvents * leavingPause
	leavingSpread = 25 * time.Millisecond
	leavingPlay   = 20 * time.Second
	// allowedUnanswered is how many requests the rule allows.
	allowedUnanswered = 3
)

// servePaced answers each request with a stream of events at intervals, and notes the requests.
func servePaced(c net.Conn, began *sync.Map) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		began.Store(q.Header.Get("Request-Id"), true)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Request-Id"))
		for i := 1; i <= leavingEvents; i++ {
			time.Sleep(leavingPause)
			e := fmt.Sprintf("id: %d\ndata: part %d\n\n", i, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
				return
			}
		}
		fmt.Fprint(c, "0\r\n\r\n")
	}
}

// leavingCallers shows whether requests of callers are cut when other callers leave.
func leavingCallers(w *world, isTrouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var began sync.Map
	for n := range leavingServers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		defer l.Close()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go servePaced(c, &began)
			}
		}()
		w.register(ctx, "m"+strconv.Itoa(n), "models", l.Addr().String(), "v1")
	}
	w.configure(7, talkRoute, talkService, "")
	if err := w.addHosts(1); err != nil {
		return false, err
	}
	h := w.hosts[0]
	playing, stop := context.WithTimeout(ctx, leavingPlay)
	defer stop()
	newTurn := func() attempt {
		program := newRequestID()
		return attempt{method: "POST", path: "/talk/2f", deadline: patientDeadline, body: []byte("turn"), header: map[string]string{
			"Accept": "text/event-stream", "Program": program, "Session": program, "Finish-Ms": "60000",
		}}
	}
	var mu sync.Mutex
	unanswered, cut, whole := 0, 0, 0
	var all sync.WaitGroup
	for range patientClients {
		all.Go(func() {
			k := &kept{address: h.front}
			defer k.close()
			for playing.Err() == nil {
				a := k.send(ctx, newTurn())
				mu.Lock()
				switch {
				case a.status == http.StatusOK && a.isWhole:
					whole++
				case a.status == 0:
					_, hasBegun := began.Load(a.id)
					if hasBegun && k.requests > 1 {
						unanswered++
					}
					w.record.logf("request %s, the %d. on its connection: %s; its deadline is %v; a server had begun to run it: %v", a.id, k.requests, a, patientDeadline, hasBegun)
				default:
					cut++
					w.record.logf("request %s, the %d. on its connection: %s; %d of %d events; its deadline is %v", a.id, k.requests, a, a.events(), leavingEvents, patientDeadline)
				}
				mu.Unlock()
			}
		})
	}
	if isTrouble {
		for range leavingClients {
			all.Go(func() {
				for playing.Err() == nil {
					leaving, leave := context.WithTimeout(ctx, leavingTime+rand.N(leavingSpread))
					newTurn().send(leaving, h.front)
					leave()
				}
			})
		}
	}
	all.Wait()
	w.record.logf("turns of callers that stayed, with a deadline of %v: %d whole, %d passed on from a kept connection that ended without an answer, %d cut or failed later", patientDeadline, whole, unanswered, cut)
	fmt.Printf("connections that ended without an answer: %d, allowed: %d; answers that were cut: %d\n", unanswered, allowedUnanswered, cut)
	return unanswered > allowedUnanswered, nil
}
