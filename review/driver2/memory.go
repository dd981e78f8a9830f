package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conversations as long as those of the kind of request sitter-chat, and clients without an end to their
// heads.
const (
	talkRoute   = `{"name":"talk","host":"case.example","prefix":"/talk/","kind":"stream","timeout_ms":3000,"goal_ms":250,"prio":0,"service":"models","attempts":2,"keep_context":true,"retention_s":60,"sticky":true,"resumable":false,"gap_goal_ms":250}`
	talkService = `{"name":"models","health_path":"/health","max_conns":500,"engine":{"slots":16,"kv_tokens":487206,"event_tokens":22}}`

	talkServers     = 6
	talkPrograms    = 100
	talkTurns       = 22
	talkBytes       = 17000
	talkWork        = 300 * time.Millisecond
	talkPause       = 20 * time.Millisecond
	endlessClients  = 2500
	endlessPart     = 1 << 10
	endlessInterval = 60 * time.Millisecond
	endlessTime     = 60 * time.Second
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = 300 * time.Millisecond
	// enoughUnanswered ends the play early.
	enoughUnanswered = 8
	memoryPoll       = 100 * time.Millisecond
	headReadBuffer   = 4 << 10
)

// serveTalk answers each request with a stream of three events, and notes the requests.
func serveTalk(c net.Conn, began *sync.Map) {
	defer c.Close()
	reader := bufio.NewReaderSize(c, headReadBuffer)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		began.Store(q.Header.Get("Request-Id"), true)
		time.Sleep(talkWork)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Request-Id"))
		for i := 1; i <= 3; i++ {
			e := fmt.Sprintf("id: %d\ndata: part %d\n\n", i, i)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		fmt.Fprint(c, "0\r\n\r\n")
	}
}

func listenTalk(began *sync.Map) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveTalk(c, began)
		}
	}()
	return l, nil
}

// conversation is a line of turns of one program, on one kept connection.
type conversation struct {
	program, last string
	turns         int
	conn          kept
}

func (v *conversation) turn(ctx context.Context) answer {
	header := map[string]string{"Accept": "text/event-stream", "Program": v.program, "Session": v.program, "Finish-Ms": "60000"}
	if v.last != "" {
		header["Previous-Turn"] = v.last
	}
	a := v.conn.send(ctx, attempt{method: "POST", path: "/talk/2f", deadline: 3 * time.Second, body: make([]byte, talkBytes), header: header})
	if a.status == http.StatusOK && a.isWhole {
		v.last, v.turns = a.id, v.turns+1
	}
	if v.turns >= talkTurns {
		v.last, v.turns = "", 0
	}
	return a
}

// endlessHeads shows whether a host stays within its memory before clients whose heads have no end, and
// what ordinary callers lose if it does not.
func endlessHeads(w *world, isTrouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var began sync.Map
	for n := range talkServers {
		l, err := listenTalk(&began)
		if err != nil {
			return false, err
		}
		defer l.Close()
		w.register(ctx, "m"+strconv.Itoa(n), "models", l.Addr().String(), "v1")
	}
	w.configure(7, talkRoute, talkService, "")
	if err := w.addHosts(1); err != nil {
		return false, err
	}
	h := w.hosts[0]
	talks := make([]*conversation, talkPrograms)
	var all sync.WaitGroup
	for i := range talks {
		talks[i] = &conversation{program: "p" + strconv.Itoa(i), conn: kept{address: h.front}}
		defer talks[i].conn.close()
		all.Go(func() {
			for range 1 + rand.IntN(talkTurns) {
				talks[i].turn(ctx)
			}
		})
	}
	all.Wait()
	w.record.logf("%d conversations have begun; peak of the host's memory %d KB", talkPrograms, h.peakKB())
	playing, stop := context.WithTimeout(ctx, endlessTime)
	defer stop()
	if isTrouble {
		w.record.logf("%d clients send heads without end", endlessClients)
		for range endlessClients {
			all.Go(func() { endlessHead(playing, h) })
		}
	}
	var whole, failed, unanswered atomic.Int64
	for _, v := range talks {
		all.Go(func() {
			for playing.Err() == nil {
				a := v.turn(ctx)
				_, hasBegun := began.Load(a.id)
				switch {
				case a.status == http.StatusOK && a.isWhole:
					whole.Add(1)
				case a.status == 0 && hasBegun && v.conn.requests > 1 && !errors.Is(a.err, os.ErrDeadlineExceeded):
					unanswered.Add(1)
					w.record.logf("request %s, the %d. on its connection: %s; a server had begun to run it", a.id, v.conn.requests, a)
				default:
					failed.Add(1)
				}
				time.Sleep(talkPause)
			}
		})
	}
	limit, peak, killed := w.ramMB<<10, 0, 0
	for seconds := 0; playing.Err() == nil && unanswered.Load() < enoughUnanswered; time.Sleep(memoryPoll) {
		if now := h.peakKB(); now > 0 {
			peak = now
		}
		if s := int(time.Since(w.record.begin).Seconds()); s > seconds {
			seconds = s
			w.record.logf("peak of the host's memory %d KB of %d KB; turns that were answered whole: %d, that were not: %d", peak, limit, whole.Load(), failed.Load()+unanswered.Load())
		}
		if peak > limit {
			// As the platform does with a process over its memory, which it starts again.
			w.record.logf("peak of the host's memory %d KB of %d KB: the process is killed", peak, limit)
			h.signal(syscall.SIGKILL)
			<-h.ended
			time.Sleep(restartDelay)
			if err := h.start(); err != nil {
				return false, err
			}
			killed, peak = killed+1, 0
		}
	}
	stop()
	all.Wait()
	w.record.logf("the process was killed %d times; peak of the host's memory since %d KB of %d KB; turns that were answered whole: %d, passed on from a kept connection that ended without an answer: %d, failed otherwise: %d",
		killed, peak, limit, whole.Load(), unanswered.Load(), failed.Load())
	fmt.Printf("killed for its memory: %d times; connections that ended without an answer: %d, allowed: %d\n", killed, unanswered.Load(), allowedUnanswered)
	return unanswered.Load() > allowedUnanswered, nil
}

// endlessHead sends a request whose head has no end, again and again.
func endlessHead(ctx context.Context, h *host) {
	part := make([]byte, endlessPart)
	for i := range part {
		part[i] = 'a'
	}
	dialer := net.Dialer{Timeout: time.Second}
	for ctx.Err() == nil {
		c, err := dialer.DialContext(ctx, "tcp", h.front)
		if err != nil {
			time.Sleep(endlessInterval)
			continue
		}
		_, err = io.WriteString(c, "POST /talk/2f HTTP/1.1\r\nHost: "+clientHost+"\r\nRequest-Id: "+newRequestID()+"\r\nX: ")
		for err == nil && ctx.Err() == nil {
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			_, err = c.Write(part)
			time.Sleep(endlessInterval)
		}
		_ = c.Close()
	}
}
