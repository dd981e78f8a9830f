package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// slots is how many requests a replica runs at once, maxWaiting how many more it queues.
	slots      = 8
	maxWaiting = 24
)

// run is one request that a replica began to run.
type run struct {
	id string
	at time.Time
	// isAnswered says that the replica wrote its whole answer.
	isAnswered bool
}

// replica is one server of a service.
type replica struct {
	w       *world
	id      string
	service string
	version string
	born    time.Time
	server  *http.Server
	address string
	answer  func(rw http.ResponseWriter, r *http.Request)
	// slots holds an element for each request that runs.
	slots chan struct{}

	mu sync.Mutex
	// waiting is how many requests wait for a slot.
	waiting int
	runs    []*run
	// state is "ready", "draining" or empty if the entry was removed.
	state string
	seq   int
}

// addReplica starts a replica that answers by a function.
func (w *world) addReplica(service string, answer func(rw http.ResponseWriter, r *http.Request)) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{w: w, id: fmt.Sprintf("i-%s-%d", service, len(w.replicas)), service: service, version: "v1", born: time.Now(), address: l.Addr().String(), answer: answer, slots: make(chan struct{}, slots), state: "ready"}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }()
	w.replicas = append(w.replicas, r)
	r.register()
	w.beating.Go(func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-w.stop:
				return
			case <-ticker.C:
				r.register()
			}
		}
	})
	return r, nil
}

// register renews the replica's entry in the store.
func (r *replica) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "" {
		return
	}
	r.seq++
	r.w.store.Put("keyed.servers", r.id, fmt.Appendf(nil, `{"service":%q,"addr":%q,"zone":"here","version":%q,"slots":8,"state":%q,"cold_left_ms":0,"seq":%d,"born":%d}`,
		r.service, r.address, r.version, r.state, r.seq, r.born.UnixMilli()))
}

// leave removes the entry without a word. The replica goes on serving.
func (r *replica) leave() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = ""
	r.w.store.Put("keyed.servers", r.id, nil)
	r.w.record("the store has accepted that the entry of %s is removed", r.id)
	return time.Now()
}

// drain reports that the replica is draining.
func (r *replica) drain() time.Time {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.register()
	r.w.record("the store has accepted that %s is draining", r.id)
	return time.Now()
}

// restart ends the replica's process and starts another one after a time, under the same ID and
// at the same address, with another software version. It writes its entry at its start.
func (r *replica) restart(down time.Duration, version string, answer func(http.ResponseWriter, *http.Request)) error {
	r.mu.Lock()
	state := r.state
	r.state = ""
	r.mu.Unlock()
	_ = r.server.Close()
	r.w.record("%s (%s) has ended", r.id, r.version)
	time.Sleep(down)
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.state, r.version, r.born, r.answer, r.seq = state, version, time.Now(), answer, 0
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	r.register()
	r.w.record("%s has started again with version %s, and the store has its entry", r.id, version)
	return nil
}

func (r *replica) serve(rw http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	if want := request.Header.Get("Expect-Instance"); want != "" && want != r.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if !r.acquire(request.Context()) {
		rw.Header().Set("Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.slots }()
	x := &run{id: id, at: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, x)
	r.mu.Unlock()
	r.w.record("%s runs %s", r.id, id)
	rw.Header().Set("Server-Stamp", "stamp-"+r.id+"-"+id)
	r.mu.Lock()
	f := r.answer
	r.mu.Unlock()
	f(rw, request)
	r.mu.Lock()
	x.isAnswered = request.Context().Err() == nil
	r.mu.Unlock()
}

// acquire waits for a slot. It returns false if the queue is full or the request has ended.
func (r *replica) acquire(ctx context.Context) bool {
	r.mu.Lock()
	if r.waiting >= maxWaiting {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	select {
	case r.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// allRuns returns the runs at all replicas by request ID.
func (w *world) allRuns() map[string][]run {
	all := make(map[string][]run)
	for _, r := range w.replicas {
		r.mu.Lock()
		for _, x := range r.runs {
			all[x.id] = append(all[x.id], *x)
		}
		r.mu.Unlock()
	}
	return all
}

func (r *replica) runsAfter(t time.Time) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []run
	for _, x := range r.runs {
		if x.at.After(t) {
			list = append(list, *x)
		}
	}
	return list
}

func (r *replica) close() { _ = r.server.Close() }

// plain answers with a body that names the request, after some work.
func plain(work time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}
		body := "answer to " + r.Header.Get("Request-Id")
		rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(rw, body)
	}
}

// stream answers with events that name the version of the replica.
func stream(events int, pause time.Duration, version string) func(http.ResponseWriter, *http.Request) {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Type", "text/event-stream")
		flusher := http.NewResponseController(rw)
		first, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if err != nil {
			first = 0
		}
		for i := first + 1; i <= events; i++ {
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: part %d by %s\n\n", i, i, version)
			_ = flusher.Flush()
		}
	}
}
