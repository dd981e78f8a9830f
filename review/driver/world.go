package main

import (
	"encoding/json"
	"fmt"
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

const (
	storeLatency  = 2 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
	drainTime     = 2 * time.Second
	stableWindow  = 3 * time.Second
	graceTime     = 8 * time.Second
	startPatience = 15 * time.Second
	eventTokens   = 14
)

// world is a store, replicas and hosts.
type world struct {
	binary   string
	dir      string
	started  time.Time
	store    *metastore.Store
	stop     chan struct{}
	beating  sync.WaitGroup
	replicas []*replica
	hosts    []*host
	// network tells the hosts of cases that run at the same time apart.
	network int

	mu   sync.Mutex
	file *os.File
}

func newWorld(binary, record string) (*world, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{binary: binary, dir: dir, started: time.Now(), store: metastore.New(), stop: make(chan struct{}), file: file, network: os.Getpid() % 62500}
	w.store.Latency = storeLatency
	return w, nil
}

// record writes a line with the time since the start of the case.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.file, "%9.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) close() {
	close(w.stop)
	for _, h := range w.hosts {
		h.kill()
		h.close()
	}
	w.beating.Wait()
	for _, r := range w.replicas {
		r.close()
	}
	_ = w.file.Close()
	_ = os.RemoveAll(w.dir)
}

// route returns the record of a route.
func route(path, kind, service string, timeoutMS, goalMS int, rest string) string {
	return fmt.Sprintf(`{"name":%q,"host":"review.example","prefix":"/%s/","kind":%q,"timeout_ms":%d,"goal_ms":%d,"prio":0,"service":%q,"attempts":1%s}`,
		path, path, kind, timeoutMS, goalMS, service, rest)
}

// configure writes the first configuration.
func (w *world) configure(routes ...string) {
	w.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":7,"routes":[%s],"services":[{"name":"app","health_path":"/health","max_conns":110},{"name":"models","health_path":"/health","max_conns":150,"engine":{"slots":8,"kv_tokens":97850,"event_tokens":%d}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		strings.Join(routes, ","), eventTokens))
}

// host is one process of the project, with its own path to the store.
type host struct {
	w         *world
	name      string
	front     string
	ready     string
	settings  string
	storePath *proxy
	server    *http.Server
	log       *os.File

	process *exec.Cmd
	ended   chan struct{}
}

// freeAddress returns a free port at a loopback address.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// addHost prepares a host and starts its process.
func (w *world) addHost() (*host, error) {
	h := &host{w: w, name: fmt.Sprintf("host-%d", len(w.hosts))}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	handler := w.store.Handler()
	h.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		r.Header.Set(metastore.HostHeader, h.name)
		handler.ServeHTTP(rw, r)
	})}
	go func() { _ = h.server.Serve(l) }()
	if h.storePath, err = newProxy(l.Addr().String()); err != nil {
		return nil, err
	}
	// Each host has a loopback address of its own, since its metrics are at a fixed port.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+w.network/250, w.network%250, len(w.hosts)+2)
	var addresses [3]string
	for i := range addresses {
		if addresses[i], err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	h.front, h.ready = addresses[0], addresses[1]
	inner, err := net.ResolveTCPAddr("tcp", addresses[2])
	if err != nil {
		return nil, err
	}
	settings, err := json.Marshal(map[string]any{
		"node": h.name, "role": "entry", "class": "front", "serves": []string{"front"}, "ip": ip, "zone": "here", "region": "there",
		"zones":      map[string]string{"here": "there"},
		"listen":     map[string]string{"front": h.front, "ready": h.ready},
		"port_range": []int{inner.Port, inner.Port}, "bootstrap": true,
		"limits":       map[string]any{"cpu_share": 0.8, "cores": 1, "ram_mb": 144, "max_fds": 8200, "link_mbps": 1000.0},
		"heartbeat_ms": heartbeat.Milliseconds(),
		"bounds":       map[string]any{"drain_ms": drainTime.Milliseconds(), "stable_window_ms": stableWindow.Milliseconds(), "grace_s": graceTime.Seconds()},
		"platform": map[string]any{"addr": h.storePath.address(), "form": "log", "writes_per_s": 800.0, "reads_per_s": 2000.0, "parts": 24,
			"retention_s": 300, "record_bytes": 262144, "call_bytes": 2097152},
	})
	if err != nil {
		return nil, err
	}
	h.settings = filepath.Join(w.dir, h.name+".json")
	if err := os.WriteFile(h.settings, settings, 0o600); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(w.dir, h.name+".log")); err != nil {
		return nil, err
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		if h.log, err = os.Create(filepath.Join(keep, h.name+".log")); err != nil {
			return nil, err
		}
	}
	w.hosts = append(w.hosts, h)
	return h, h.start()
}

// addHosts starts hosts and waits until they are ready.
func (w *world) addHosts(n int) error {
	for range n {
		if _, err := w.addHost(); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

func (w *world) awaitReady() error {
	for _, h := range w.hosts {
		if !h.isReadyWithin(startPatience) {
			return fmt.Errorf("%s is not ready", h.name)
		}
		w.record("%s is ready", h.name)
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	c := exec.Command(h.w.binary, "front")
	c.Env = []string{"YUCCAUSHER_CONFIG=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + h.w.dir}
	c.Stdout, c.Stderr = h.log, h.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.process, h.ended = c, ended
	go func() {
		defer close(ended)
		_ = c.Wait()
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.w.record("%s gets %v", h.name, s)
	_ = h.process.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	if h.process == nil {
		return
	}
	_ = h.process.Process.Kill()
	<-h.ended
}

func (h *host) close() {
	_ = h.server.Close()
	h.storePath.close()
	_ = h.log.Close()
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) isReadyWithin(patience time.Duration) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return true
		}
	}
	return false
}
