package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["version"] = playVersion }

// playVersion starts a server again under its ID, with another version of its software, and takes it down once more.
func playVersion(w *world) bool {
	o := serverOptions{events: 15, pause: 150 * time.Millisecond}
	flapping := w.addServer("models", o)
	for range 6 {
		w.addServer("models", o)
	}
	w.configure(routeOf("turns", "stream", "models", `,"resumable":true,"gap_goal_ms":200,"keep_context":false,"retention_s":60`))
	w.startHosts(2)
	flapping.kill()
	w.note("%s is down", flapping.options.id)
	time.Sleep(2 * time.Second)
	if w.trouble {
		flapping.version, flapping.options.version = "v2", "v2"
	}
	flapping.born = time.Now()
	flapping.start()
	flapping.register()
	w.note("%s is up again, version %s", flapping.options.id, flapping.version)
	var sending sync.WaitGroup
	replies := make([]reply, 60)
	for i := range replies {
		sending.Go(func() {
			program := fmt.Sprintf("%06x", i*7919)
			replies[i] = w.send(w.hosts[i%2], request{method: "POST", path: "/turns/x", body: "prompt of " + program, header: map[string]string{
				"Accept": "text/event-stream", "Program": program, "Session": program, "Finish-Ms": "9000", "Token-Budget": "2240", "Tokens": "1460,280", "Model": "m",
			}}, nil)
		})
		time.Sleep(8 * time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
	flapping.kill()
	w.note("%s is down", flapping.options.id)
	sending.Wait()
	mixed := 0
	for _, r := range replies {
		if strings.Contains(r.body, "part v1") && strings.Contains(r.body, "part v2") {
			w.note("ORDER: the stream %s holds events of two versions", r.id)
			mixed++
		}
	}
	return mixed > 2
}
