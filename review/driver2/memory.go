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
	talkPause       = 20 * time.Millisecond
	endlessClients  = 2500
	endlessPart     = 1 << 10
	endlessInterval = 60 * time.Millisecond
	endlessTime     = 35 * time.Second
	memoryPoll      = 100 * time.Millisecond
	headReadBuffer  = 4 << 10
)

// serveTalk answers each request with a stream of three events.
func serveTalk(c net.Conn) {
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
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Request-Id"))
		for i := 1; i <= 3; i++ {
			e := fmt.Sprintf("id: %d\ndata: part %d\n\n", i, i)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		fmt.Fprint(c, "0\r\n\r\n")
	}
}

func listenTalk() (net.Listener, error) {
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
			go serveTalk(c)
		}
	}()
	return l, nil
}

// conversation is a line of turns of one program.
type conversation struct {
	program, last string
	turns         int
}

func (v *conversation) turn(ctx context.Context, h *host) answer {
	header := map[string]string{"Accept": "text/event-stream", "Program": v.program, "Session": v.program, "Finish-Ms": "60000"}
	if v.last != "" {
		header["Previous-Turn"] = v.last
	}
	a := attempt{method: "POST", path: "/talk/2f", deadline: 3 * time.Second, body: make([]byte, talkBytes), header: header}.send(ctx, h.front)
	if a.status == http.StatusOK && a.isWhole {
		v.last, v.turns = a.id, v.turns+1
	}
	if v.turns >= talkTurns {
		v.last, v.turns = "", 0
	}
	return a
}

// endlessHeads shows whether a host stays within its memory before clients whose heads have no end.
func endlessHeads(w *world, isTrouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n := range talkServers {
		l, err := listenTalk()
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
		talks[i] = &conversation{program: "p" + strconv.Itoa(i)}
		all.Go(func() {
			for range 1 + rand.IntN(talkTurns) {
				talks[i].turn(ctx, h)
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
	var whole, failed atomic.Int64
	for _, v := range talks {
		all.Go(func() {
			for playing.Err() == nil && !h.hasEnded() {
				if a := v.turn(ctx, h); a.status == http.StatusOK && a.isWhole {
					whole.Add(1)
				} else {
					failed.Add(1)
				}
				time.Sleep(talkPause)
			}
		})
	}
	limit, peak, isKilled := w.ramMB<<10, 0, false
	for seconds := 0; playing.Err() == nil; time.Sleep(memoryPoll) {
		if now := h.peakKB(); now > 0 {
			peak = now
		}
		if s := int(time.Since(w.record.begin).Seconds()); s > seconds {
			seconds = s
			w.record.logf("peak of the host's memory %d KB of %d KB; turns that were answered whole: %d, that were not: %d", peak, limit, whole.Load(), failed.Load())
		}
		if peak > limit && !isKilled {
			// As the platform does with a process over its memory.
			w.record.logf("peak of the host's memory %d KB of %d KB: the process is killed", peak, limit)
			h.signal(syscall.SIGKILL)
			isKilled = true
		}
	}
	all.Wait()
	w.record.logf("peak of the host's memory %d KB of %d KB; turns that were answered whole: %d, that were not: %d", peak, limit, whole.Load(), failed.Load())
	fmt.Printf("memory at its peak: %d KB, allowed: %d KB\n", peak, limit)
	return peak > limit, nil
}

// endlessHead sends a request whose head has no end, again and again.
func endlessHead(ctx context.Context, h *host) {
	part := make([]byte, endlessPart)
	for i := range part {
		part[i] = 'a'
	}
	dialer := net.Dialer{Timeout: time.Second}
	for ctx.Err() == nil && !h.hasEnded() {
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
