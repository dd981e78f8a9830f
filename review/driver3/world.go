package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"yuccausher/internal/standin/metastore"
)

// world holds the store, the servers and the hosts of a case.
type world struct {
	trouble bool
	started time.Time
	dir     string
	store   *metastore.Store

	mu      sync.Mutex
	record  *os.File
	hosts   []*host
	servers []*server
	closers []func()
	isDone  bool
	version int
	// hasPaths gives each host a path of its own to each server, which can be cut. Otherwise hosts reach the
	// servers at their own addresses.
	hasPaths bool
}

// host is one process of the system.
type host struct {
	w        *world
	name     string
	ip       string
	front    string
	settings string
	process  *exec.Cmd
	ended    chan struct{}
	// storePath is the path of the host to the store.
	storePath *path
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), dir: dir, store: metastore.New(), record: f}
	w.store.Latency = 4 * time.Millisecond
	w.note("trouble: %v", w.trouble)
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = w.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// must ends the case as one that could not run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (w *world) close() {
	w.mu.Lock()
	if w.isDone {
		w.mu.Unlock()
		return
	}
	w.isDone = true
	w.mu.Unlock()
	for _, h := range w.hosts {
		h.kill()
	}
	for _, s := range w.servers {
		s.kill()
	}
	for _, f := range w.closers {
		f()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// ipOf returns the loopback address of a machine. Processes of several cases at the same time differ.
func ipOf(machine int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, 1+machine)
}

// freePort returns a port that is free at an address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// bounds are those of sites/pcak-ledger.toml.
const bounds = `{"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":3000,"ack_ms":4000,"sync_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_stretch_ms":5000,"recover_s":12,"pass_ms":120,"retry_s":0,"deadline_s":10,"settle_ms":1000}`

// addHost prepares a host with a path of its own to the store.
func (w *world) addHost() *host {
	i := len(w.hosts)
	h := &host{w: w, name: fmt.Sprintf("front-%d", i+1), ip: ipOf(i)}
	handler := w.store.Handler()
	l, err := net.Listen("tcp", net.JoinHostPort(ipOf(100), "0"))
	must(err)
	backend := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		r.Header.Set(metastore.HostHeader, h.name)
		handler.ServeHTTP(rw, r)
	}), ReadHeaderTimeout: time.Minute}
	go func() { _ = backend.Serve(l) }()
	w.closers = append(w.closers, func() { _ = backend.Close() })
	h.storePath = w.newPath(ipOf(100), l.Addr().String())
	h.front = fmt.Sprintf("%s:%d", h.ip, freePort(h.ip))
	inner := freePort(h.ip)
	settings := map[string]any{
		"node": h.name, "role": "entry", "class": "front", "serves": []string{"front"}, "ip": h.ip,
		"zone": "concord", "region": "newengland", "zones": map[string]string{"concord": "newengland"},
		"listen":     map[string]string{"front": h.front, "ready": fmt.Sprintf("%s:%d", h.ip, freePort(h.ip))},
		"port_range": []int{inner, inner}, "seeds": []string{}, "bootstrap": true, "loss_counts": false,
		"limits":   map[string]any{"cpu_share": 0.8, "cores": 1, "ram_mb": 144, "max_fds": 8200, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"tolerate":  map[string]int{"nodes": 1, "zones": 0, "regions": 0},
		"bounds":    json.RawMessage(bounds),
		"platform": map[string]any{"addr": h.storePath.address, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": 24, "append_ms": 1.0,
			"part_bw_s": 20.0, "read_bw_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "retention_s": 300, "part_mb": 200, "ttl_min_ms": 1000},
	}
	data, err := json.Marshal(settings)
	must(err)
	h.settings = filepath.Join(w.dir, h.name+".json")
	must(os.WriteFile(h.settings, data, 0o600))
	w.hosts = append(w.hosts, h)
	if w.hasPaths {
		w.layPaths(h)
	}
	return h
}

// layPaths gives a host paths of its own to the servers that there are. The store shows it their addresses.
func (w *world) layPaths(h *host) {
	var pairs []string
	for _, s := range w.servers {
		p := w.newPath(ipOf(101), s.options.address)
		s.paths[h.name] = p
		pairs = append(pairs, `"addr":"`+s.options.address+`"`, `"addr":"`+p.address+`"`)
	}
	replacer := strings.NewReplacer(pairs...)
	w.store.SetView(h.name, func(data []byte) []byte {
		if !bytes.Contains(data, []byte(`"addr":"`)) {
			return data
		}
		return []byte(replacer.Replace(string(data)))
	})
}

// cutFromServers partitions a host from all servers: its connections are reset and new ones are refused.
func (w *world) cutFromServers(h *host) {
	for _, s := range w.servers {
		s.paths[h.name].cut()
	}
	w.note("%s is partitioned from all servers", h.name)
}

// start starts the host's process with the command of the deploy file.
func (h *host) start() {
	log, err := os.OpenFile(filepath.Join(h.w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	c := exec.Command("target/yuccausher", "front")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "YUCCAUSHER_CONFIG=" + h.settings}
	c.Stdout, c.Stderr = log, log
	must(c.Start())
	h.process, h.ended = c, make(chan struct{})
	ended := h.ended
	go func() {
		_ = c.Wait()
		close(ended)
		_ = log.Close()
	}()
	h.w.note("%s starts at %s", h.name, h.front)
}

// kill ends the host's process at once and waits for its end.
func (h *host) kill() {
	if h.process == nil {
		return
	}
	_ = h.process.Process.Signal(syscall.SIGCONT)
	_ = h.process.Process.Kill()
	<-h.ended
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady() {
	var settings struct {
		Listen struct {
			Ready string `json:"ready"`
		} `json:"listen"`
	}
	data, err := os.ReadFile(h.settings)
	must(err)
	must(json.Unmarshal(data, &settings))
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		r, err := client.Get("http://" + settings.Listen.Ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
	}
	panic(h.name + " does not become ready")
}

// startHosts starts some hosts and waits until they are ready and know each other.
func (w *world) startHosts(n int) {
	for range n {
		w.addHost()
	}
	for _, h := range w.hosts {
		h.start()
	}
	for _, h := range w.hosts {
		h.awaitReady()
	}
	// The hosts read the list of hosts each 4 s.
	time.Sleep(9 * time.Second)
	w.note("all hosts are ready")
}

// routeOf returns a route of the configuration.
func routeOf(path, kind, service, rest string) string {
	return fmt.Sprintf(`{"name":"r-%s","host":"a.example","prefix":"/%s/","kind":%q,"timeout_ms":3000,"goal_ms":400,"prio":0,"service":%q,"attempts":2%s}`, path, path, kind, service, rest)
}

// configure publishes the next version of the configuration. The store's answer is its acknowledgement.
func (w *world) configure(routes ...string) {
	w.version += 2
	list := bytes.Join(func() (parts [][]byte) {
		for _, r := range routes {
			parts = append(parts, []byte(r))
		}
		return parts
	}(), []byte(","))
	w.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"app","health_path":"/health","max_conns":100},{"name":"other","health_path":"/health","max_conns":100},{"name":"models","health_path":"/health","max_conns":100,"engine":{"slots":8,"kv_tokens":97850,"event_tokens":%d}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		w.version, list, eventTokens))
	w.note("the store acknowledges configuration %d: %s", w.version, list)
}

// eventTokens is how many tokens an event counts.
const eventTokens = 14

// path is a proxy on the way between two machines.
type path struct {
	address string
	to      string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	isCut    bool
	// isRefusing is set while the server at the end of the path is down.
	isRefusing bool
}

// newPath returns a path from an address of a machine to another address.
func (w *world) newPath(ip, to string) *path {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	must(err)
	p := &path{address: l.Addr().String(), to: to, listener: l, conns: make(map[net.Conn]bool)}
	go p.accept(l)
	w.closers = append(w.closers, p.cut)
	return p
}

func (p *path) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.join(c)
	}
}

// join passes on the bytes of a connection in both directions.
func (p *path) join(c net.Conn) {
	d, err := net.Dial("tcp", p.to)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	if p.isCut {
		p.mu.Unlock()
		reset(c)
		reset(d)
		return
	}
	p.conns[c], p.conns[d] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { pass(c, d) })
	both.Go(func() { pass(d, c) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, d)
	p.mu.Unlock()
	_ = c.Close()
	_ = d.Close()
}

// pass copies from one connection to another one. The end of the first, in order or by a reset, is passed on.
func pass(from, to net.Conn) {
	if _, err := io.Copy(to, from); err != nil {
		reset(to)
		return
	}
	_ = to.(*net.TCPConn).CloseWrite()
}

// reset closes a connection by a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// cut resets all connections and refuses new ones.
func (p *path) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCut {
		return
	}
	p.isCut = true
	_ = p.listener.Close()
	for c := range p.conns {
		reset(c)
	}
}

// refuse refuses new connections. The open ones go on.
func (p *path) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isCut {
		_ = p.listener.Close()
		p.isRefusing = true
	}
}

// reopen ends that.
func (p *path) reopen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isRefusing {
		return
	}
	p.isRefusing = false
	if !p.isCut {
		l, err := net.Listen("tcp", p.address)
		must(err)
		p.listener = l
		go p.accept(l)
	}
}
