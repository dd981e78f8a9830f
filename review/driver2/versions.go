package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"yuccausher/internal/standin/metastore"
	"yuccausher/internal/standin/replica"
)

const (
	modelService   = `{"name":"models","health_path":"/health","max_conns":180,"engine":{"slots":16,"kv_tokens":90000,"event_tokens":20}}`
	resumableRoute = `{"name":"streams","host":"case.example","prefix":"/streams/","kind":"stream","timeout_ms":6000,"goal_ms":400,"prio":0,"service":"models","attempts":2,"keep_context":false,"retention_s":60,"sticky":true,"resumable":true,"gap_goal_ms":250}`

	streamClients  = 200
	streamServers  = 5
	untilStreams   = 1200 * time.Millisecond
	streamPieces   = 40
	piecePause     = 75 * time.Millisecond
	restartTime    = 500 * time.Millisecond
	untilFirst     = 300 * time.Millisecond
	untilSecond    = 900 * time.Millisecond
	untilStoreBack = 1000 * time.Millisecond
)

// modelServer is a server that starts again under its ID and address, with another version of its
// software.
type modelServer struct {
	w           *world
	id, address string
	stop        context.CancelFunc
	replica     *replica.Replica
	ended       []*replica.Replica
}

func (s *modelServer) start(ctx context.Context, version string) error {
	r, err := replica.Listen(s.address, replica.Options{ID: s.id, Slots: 64, Version: version, Work: 10 * time.Millisecond, Events: streamPieces, Pause: piecePause})
	if err != nil {
		return err
	}
	s.replica, s.address = r, r.Address()
	ctx, s.stop = context.WithCancel(ctx)
	s.w.record.logf("server %s of version %s is up at its address", s.id, version)
	s.w.register(ctx, s.id, "models", s.address, version)
	return nil
}

// restart crashes the server and starts it with another version.
func (s *modelServer) restart(ctx context.Context, version string) error {
	s.w.record.logf("server %s crashes", s.id)
	s.stop()
	s.ended = append(s.ended, s.replica)
	s.replica.Close()
	time.Sleep(restartTime)
	return s.start(ctx, version)
}

// streamVersions shows whether streams go on at servers of another version while the store is down.
func streamVersions(w *world, isTrouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers := make([]*modelServer, streamServers)
	for i := range servers {
		servers[i] = &modelServer{w: w, id: fmt.Sprint("m", i+1), address: "127.0.0.1:0"}
		if err := servers[i].start(ctx, "v1"); err != nil {
			return false, err
		}
		defer func() { servers[i].replica.Close() }()
	}
	first, second := servers[0], servers[1]
	w.configure(7, resumableRoute, modelService, "")
	if err := w.addHosts(2); err != nil {
		return false, err
	}
	if isTrouble {
		w.setStoreDown(true)
	}
	time.Sleep(untilFirst)
	if err := second.restart(ctx, "v2"); err != nil {
		return false, err
	}
	time.Sleep(untilStreams)
	answers := w.streams(ctx, streamClients)
	time.Sleep(untilSecond)
	if err := first.restart(ctx, "v2"); err != nil {
		return false, err
	}
	time.Sleep(untilStoreBack)
	if isTrouble {
		w.setStoreDown(false)
	}
	mixed := w.judgeVersions(<-answers, servers)
	return mixed > 2, nil
}

// streams starts streams and returns their answers once all have ended.
func (w *world) streams(ctx context.Context, n int) <-chan []answer {
	result := make(chan []answer, 1)
	go func() {
		answers := make([]answer, n)
		var all sync.WaitGroup
		for i := range n {
			all.Go(func() {
				h := w.hosts[i%len(w.hosts)]
				answers[i] = attempt{method: "POST", path: "/streams/2f", deadline: 6 * time.Second, body: fmt.Appendf(nil, "stream %d", i), header: map[string]string{
					"Accept": "text/event-stream", "Tokens": "50,900", "Session": fmt.Sprint("s", i),
				}}.send(ctx, h.front)
			})
		}
		all.Wait()
		result <- answers
	}()
	return result
}

// judgeVersions records what clients and servers saw, and returns how many streams hold events of both
// versions.
func (w *world) judgeVersions(answers []answer, servers []*modelServer) int {
	mixed := 0
	for _, a := range answers {
		has1, has2 := strings.Contains(string(a.body), "version: v1\n"), strings.Contains(string(a.body), "version: v2\n")
		w.record.logf("request %s: %s; %d events; of v1: %v, of v2: %v", a.id, a, a.events(), has1, has2)
		if has1 && has2 {
			mixed++
		}
	}
	for _, s := range servers {
		for i, r := range append(s.ended, s.replica) {
			for _, run := range r.Runs() {
				w.record.logf("server %s, start %d, ran request %s after event %q", s.id, i+1, run.RequestID, run.Header.Get("Last-Event-Id"))
			}
		}
	}
	w.record.logf("streams with events of both versions: %d", mixed)
	fmt.Printf("streams with events of both versions: %d\n", mixed)
	return mixed
}

// setStoreDown makes the store refuse the calls of all hosts and servers, or serve them again.
func (w *world) setStoreDown(isDown bool) {
	w.record.logf("the store is down: %v", isDown)
	w.isDown.Store(isDown)
	w.store.SetFaults(metastore.EveryHost, metastore.Faults{Refuse: isDown})
	for _, h := range w.hosts {
		w.store.SetFaults(h.name, metastore.Faults{Refuse: isDown})
	}
}
