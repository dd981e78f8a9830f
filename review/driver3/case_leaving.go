package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["leaving"] = playLeaving }

// playLeaving takes a server away 2 s after its notice, while it answers streams that end with their connection.
func playLeaving(w *world) bool {
	const eventCount, serverCount = 17, 7
	o := serverOptions{events: eventCount, pause: 150 * time.Millisecond, unframed: true}
	leaving := w.addServer("models", o)
	for range serverCount - 1 {
		w.addServer("models", o)
	}
	w.configure(routeOf("turns", "stream", "models", `,"resumable":true,"gap_goal_ms":200,"keep_context":false,"retention_s":60`))
	w.startHosts(2)
	leaving.notice()
	noticed := time.Now()
	time.Sleep(20 * time.Millisecond)
	var sending sync.WaitGroup
	replies := make([]reply, 42)
	for i := range replies {
		sending.Go(func() {
			program := fmt.Sprintf("%06x", i*7919)
			replies[i] = w.send(w.hosts[i%2], request{method: "POST", path: "/turns/x", body: "prompt of " + program, header: map[string]string{
				"Accept": "text/event-stream", "Program": program, "Session": program, "Finish-Ms": "9000", "Token-Budget": "2240", "Tokens": "1460,280", "Model": "m",
			}}, nil)
		})
	}
	if w.trouble {
		time.Sleep(time.Until(noticed.Add(2 * time.Second)))
		leaving.kill()
		w.note("%s is gone 2 s after its notice", leaving.options.id)
	}
	sending.Wait()
	isBroken := false
	for _, r := range replies {
		got := events(r.body)
		if r.status == 200 && r.isWhole && len(got) < eventCount {
			w.note("ORDER: the stream %s has ended as complete after event %d of %d", r.id, len(got), eventCount)
			isBroken = true
		}
	}
	return isBroken
}
