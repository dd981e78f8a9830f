package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["turn"] = playTurn }

// playTurn resets a client's connection in the middle of a turn that is kept. The client takes the stream up at
// another machine and goes on with the next turn.
func playTurn(w *world) bool {
	const eventCount = 8
	for range 2 {
		w.addServer("models", serverOptions{events: eventCount, pause: 100 * time.Millisecond})
	}
	w.configure(routeOf("talk", "stream", "models", `,"resumable":true,"gap_goal_ms":200,"keep_context":true,"retention_s":60`))
	// Of ten machines one has half of its connections reset: one of two.
	w.startHosts(10)
	const program = "3fa81c"
	header := func(more ...string) map[string]string {
		h := map[string]string{"Accept": "text/event-stream", "Program": program, "Session": "77d20b", "Finish-Ms": "9000", "Token-Budget": "2240", "Tokens": "1460,280", "Model": "m"}
		for i := 0; i < len(more); i += 2 {
			h[more[i]] = more[i+1]
		}
		return h
	}
	const input = "first input;"
	received := 0
	last := ""
	otherHeader := header("Program", "3fa81d", "Session", "77d20c")
	other := make(chan reply, 1)
	go func() {
		other <- w.send(w.hosts[0], request{method: "POST", path: "/talk/x", body: "input of another program;", header: otherHeader}, nil)
	}()
	first := w.send(w.hosts[0], request{method: "POST", path: "/talk/x", body: input, header: header()}, func(line string) bool {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			last = strings.TrimSpace(id)
		}
		if line == "\n" {
			received++
		}
		return !w.trouble || received < 3
	})
	turn := first.id
	if o := <-other; o.status != 200 || !o.isWhole {
		panic("the other connection did not stay")
	}
	if w.trouble {
		w.note("that is after event %s", last)
		time.Sleep(100 * time.Millisecond)
		taken := w.send(w.hosts[1], request{method: "POST", path: "/talk/x", body: input, header: header("Last-Event-Id", last, "Resumes", first.id)}, nil)
		if taken.status != 200 || !taken.isWhole {
			panic("the stream was not taken up")
		}
		turn = taken.id
	}
	var want strings.Builder
	want.WriteString(input)
	for i := range eventCount {
		fmt.Fprintf(&want, "part v1 %d\n", i+1)
	}
	const next = "second input;"
	want.WriteString(next)
	r := w.send(w.hosts[0], request{method: "POST", path: "/talk/x", body: next, header: header("Previous-Turn", turn)}, nil)
	if r.status != 200 {
		panic("the next turn was refused")
	}
	isBroken := false
	for _, run := range w.runsOf(r.id) {
		if run.Body != want.String() {
			w.note("UNASKED: server %s runs a turn with the body %q, and the chain is %q", run.server, run.Body, want.String())
			isBroken = true
		}
	}
	return isBroken
}
