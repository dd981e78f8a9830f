package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// serverOptions are those of a server process.
type serverOptions struct {
	id, address string
	// events is how many events a stream has, pause the time between them.
	events int
	pause  time.Duration
	// unframed answers have neither a length nor chunks, and end with their connection.
	unframed bool
	// work is the time to the first byte of an answer.
	work time.Duration
	// spoilEach is how often an answer is spoiled, one in so many; zero means never. A letter in the head is
	// wrong then.
	spoilEach int
	// version is that of the software. Events name it.
	version string
}

// run is a request that a server began to run.
type run struct {
	ID, Method, URI, Body, LastEvent string
}

// answers counts the answers of a server process.
var answers atomic.Int64

// runServer runs a server until it is killed. It writes each run to its standard output. After SIGUSR1 it
// says in its answers that it is leaving.
func runServer(args []string) {
	var o serverOptions
	f := flag.NewFlagSet("server", flag.ExitOnError)
	f.StringVar(&o.id, "id", "", "")
	f.StringVar(&o.address, "address", "", "")
	f.IntVar(&o.events, "events", 5, "")
	f.DurationVar(&o.pause, "pause", 20*time.Millisecond, "")
	f.BoolVar(&o.unframed, "unframed", false, "")
	f.DurationVar(&o.work, "work", 0, "")
	f.StringVar(&o.version, "version", "v1", "")
	f.IntVar(&o.spoilEach, "spoil-each", 0, "")
	must(f.Parse(args))
	l, err := net.Listen("tcp", o.address)
	must(err)
	var isLeaving atomic.Bool
	notices := make(chan os.Signal, 1)
	signal.Notify(notices, syscall.SIGUSR1)
	go func() {
		for range notices {
			isLeaving.Store(true)
		}
	}()
	fmt.Println("listening at", l.Addr())
	for {
		c, err := l.Accept()
		must(err)
		go o.serve(c, &isLeaving)
	}
}

func (o serverOptions) serve(c net.Conn, isLeaving *atomic.Bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !o.answer(c, r, string(body), isLeaving.Load()) {
			return
		}
	}
}

// answer answers a request. It returns false if the connection has ended.
func (o serverOptions) answer(c net.Conn, r *http.Request, body string, isLeaving bool) bool {
	id := r.Header.Get("Request-Id")
	leaving := ""
	if isLeaving {
		leaving = "Server-Leaving: 1\r\n"
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != o.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance: %s\r\n%sContent-Length: 0\r\n\r\n", id, o.id, leaving)
		return err == nil
	}
	data, err := json.Marshal(run{ID: id, Method: r.Method, URI: r.RequestURI, Body: body, LastEvent: r.Header.Get("Last-Event-Id")})
	must(err)
	fmt.Println(string(data))
	time.Sleep(o.work)
	stamp := "Server-Stamp: " + o.id + "." + id + "\r\n"
	if n := answers.Add(1); o.spoilEach > 0 && n%int64(o.spoilEach) == 0 {
		stamp = strings.Replace(stamp, "Server-Stamp", "Server-Stbmp", 1)
	}
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + stamp + leaving
	if strings.HasPrefix(r.URL.Path, "/turns/") || strings.HasPrefix(r.URL.Path, "/talk/") {
		return o.stream(c, head, r.Header.Get("Last-Event-Id"))
	}
	answer := "answer of " + o.id + " to " + id
	_, err = fmt.Fprintf(c, "%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", head, len(answer), answer)
	return err == nil
}

// stream answers with events whose IDs follow the last one that the caller has.
func (o serverOptions) stream(c net.Conn, head, lastEvent string) bool {
	head += "Content-Type: text/event-stream\r\n"
	if o.unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	first := 1
	if last, err := strconv.Atoi(lastEvent); err == nil {
		first = last + 1
	}
	for i := first; i <= o.events; i++ {
		time.Sleep(o.pause)
		event := fmt.Sprintf("id: %d\ndata: part %s %d\n\n", i, o.version, i)
		if !o.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, event); err != nil {
			return false
		}
	}
	if o.unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// server is a server process as the case sees it.
type server struct {
	w       *world
	options serverOptions
	service string
	version string
	process *exec.Cmd
	ended   chan struct{}
	born    time.Time
	state   string
	// paths are those of the hosts to the server, by the host's name.
	paths map[string]*path
}

// addServer starts a server process of a service and registers it in the store.
func (w *world) addServer(service string, o serverOptions) *server {
	i := len(w.servers)
	ip := ipOf(50 + i)
	o.id, o.version = fmt.Sprintf("i-%s-%d", service, i+1), "v1"
	o.address = fmt.Sprintf("%s:%d", ip, freePort(ip))
	s := &server{w: w, options: o, service: service, version: o.version, born: time.Now(), state: "ready", paths: make(map[string]*path)}
	w.servers = append(w.servers, s)
	s.start()
	s.register()
	return s
}

func (s *server) start() {
	o := s.options
	self, err := os.Executable()
	must(err)
	c := exec.Command(self, "server", "-id", o.id, "-address", o.address, "-events", strconv.Itoa(o.events), "-pause", o.pause.String(),
		"-unframed="+strconv.FormatBool(o.unframed), "-work", o.work.String(), "-spoil-each", strconv.Itoa(o.spoilEach), "-version", o.version)
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	must(err)
	must(c.Start())
	s.process, s.ended = c, make(chan struct{})
	for _, p := range s.paths {
		p.reopen()
	}
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	if !lines.Scan() {
		panic(o.id + " does not start")
	}
	s.w.note("server %s of %s is %s", o.id, s.service, lines.Text())
	ended := s.ended
	go func() {
		for lines.Scan() {
			s.w.ran(o.id, lines.Text())
		}
		_ = c.Wait()
		close(ended)
	}()
}

// runs holds what the servers have run.
type serverRun struct {
	server string
	at     time.Time
	run
}

var serverRuns = struct {
	list []serverRun
}{}

// ran records a run.
func (w *world) ran(server, line string) {
	var r run
	must(json.Unmarshal([]byte(line), &r))
	w.note("server %s runs %s %s %s, Last-Event-Id %q, body %q", server, r.ID, r.Method, r.URI, r.LastEvent, r.Body)
	w.mu.Lock()
	defer w.mu.Unlock()
	serverRuns.list = append(serverRuns.list, serverRun{server: server, at: time.Now(), run: r})
}

// runsOf returns the runs of a request.
func (w *world) runsOf(id string) []serverRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []serverRun
	for _, r := range serverRuns.list {
		if r.ID == id {
			list = append(list, r)
		}
	}
	return list
}

// register writes the server's entry.
func (s *server) register() {
	s.w.store.Put("keyed.servers", s.options.id, fmt.Appendf(nil, `{"service":%q,"addr":%q,"zone":"concord","version":%q,"slots":8,"state":%q,"cold_left_ms":0,"seq":1,"born":%d}`,
		s.service, s.options.address, s.version, s.state, s.born.UnixMilli()))
}

// kill ends the server's process at once.
func (s *server) kill() {
	if s.process == nil {
		return
	}
	for _, p := range s.paths {
		p.refuse()
	}
	_ = s.process.Process.Kill()
	<-s.ended
}

// notice tells the server that it is leaving, and the store. The store's answer is the acknowledgement.
func (s *server) notice() {
	must(s.process.Process.Signal(syscall.SIGUSR1))
	s.state = "draining"
	s.register()
	s.w.note("the store acknowledges that %s is draining", s.options.id)
}
