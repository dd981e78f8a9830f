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
	resumableRoute = `{"name":"streams","host":"case.example","prefix":"/streams/","kind":"stream","timeout_ms":6000,"goal_ms":400,"prio":0,"service":"models","attempts":2,"keep_context":false,"retention_s":60,"sticky":true,"resumable":true,"gap_goal_ms":250}`

	streamClients  = 16
	streamPieces   = 40
	piecePause     = 75 * time.Millisecond
	restartTime    = 500 * time.Millisecond
	untilOutage    = 300 * time.Millisecond
	untilFirst     = 300 * time.Millisecond
	untilSecond    = 900 * time.Millisecond
	untilStoreBack = 1500 * time.Millisecond
)

// modelServer is a server that starts again under its ID and address, with another version of its
// software.
type modelServer struct {
	w           *world
	id, address string
	stop        context.CancelFunc
	replica     *replica.Replica
	ended       []*replica.Replica
	downTime    time.Duration
}

func (s *modelServer) start(ctx context.Context, version string) error {
	r, err := replica.Listen(s.address, replica.Options{ID: s.id, Slots: 16, Version: version, Work: 10 * time.Millisecond, Events: streamPieces, Pause: piecePause})
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
	time.Sleep(s.downTime)
	return s.start(ctx, version)
}

// streamVersions shows whether streams go on at servers of another version while the store is down.
func streamVersions(w *world, isTrouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first, second := &modelServer{w: w, id: "m1", address: "127.0.0.1:0", downTime: restartTime}, &modelServer{w: w, id: "m2", address: "127.0.0.1:0", downTime: restartTime}
	for _, s := range []*modelServer{first, second} {
		if err := s.start(ctx, "v1"); err != nil {
			return false, err
		}
		defer func() { s.replica.Close() }()
	}
	w.configure(7, resumableRoute, modelService, "")
	if err := w.addHosts(2); err != nil {
		return false, err
	}
	answers := w.streams(ctx, streamClients, 0)
	time.Sleep(untilOutage)
	if isTrouble {
		w.setStoreDown(true)
	}
	time.Sleep(untilFirst)
	if err := second.restart(ctx, "v2"); err != nil {
		return false, err
	}
	time.Sleep(untilSecond)
	if err := first.restart(ctx, "v2"); err != nil {
		return false, err
	}
	time.Sleep(untilStoreBack)
	if isTrouble {
		w.setStoreDown(false)
	}
	mixed := w.judgeVersions(<-answers, []*modelServer{first, second})
	return mixed > 2, nil
}

// streams starts streams one after the other and returns their answers once all have ended.
func (w *world) streams(ctx context.Context, n int, stagger time.Duration) <-chan []answer {
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
			time.Sleep(stagger)
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

const (
	flapClients = 36
	flapDown    = 700 * time.Millisecond
	untilCrash  = 1500 * time.Millisecond
	flapStagger = 3 * time.Millisecond
)

// flappingVersions shows whether streams that began at a server that had just started again, with another
// version, go on at servers of the earlier version when the server crashes again.
func flappingVersions(w *world, isTrouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers := []*modelServer{}
	for n := range 3 {
		s := &modelServer{w: w, id: fmt.Sprint("m", n+1), address: "127.0.0.1:0", downTime: flapDown}
		servers = append(servers, s)
		if err := s.start(ctx, "v1"); err != nil {
			return false, err
		}
		defer func() { s.replica.Close() }()
	}
	w.configure(7, resumableRoute, modelService, "")
	if err := w.addHosts(3); err != nil {
		return false, err
	}
	if isTrouble {
		if err := servers[0].restart(ctx, "v2"); err != nil {
			return false, err
		}
	}
	answers := w.streams(ctx, flapClients, flapStagger)
	time.Sleep(untilCrash)
	if isTrouble {
		if err := servers[0].restart(ctx, "v2"); err != nil {
			return false, err
		}
	}
	mixed := w.judgeVersions(<-answers, servers)
	return mixed > 2, nil
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
