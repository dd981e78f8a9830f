package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"yuccausher/internal/standin/metastore"
)

// Figures of a small deployment, as on the sheets of the users' sites.
const (
	heartbeatMillis = 1200
	drainMillis     = 2000
	graceSeconds    = 8
	stableMillis    = 3000
	storeLatency    = 4 * time.Millisecond
	startPatience   = 10 * time.Second
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, begin: time.Now()}, err
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// world is the platform's store, the servers of the users and the hosts.
type world struct {
	record  *record
	dir     string
	binary  string
	store   *metastore.Store
	ramMB   int
	hosts   []*host
	closers []func()
	prefix  string
	// isDown is set while the store is down, for servers too.
	isDown atomic.Bool
}

// host is one process of the system.
type host struct {
	name, ip, front, ready string
	config                 string
	binary                 string
	log                    *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func newWorld(binary string, r *record, ramMB int) (*world, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, dir: dir, binary: binary, store: metastore.New(), ramMB: ramMB}
	w.store.Latency = storeLatency
	// Each host has a loopback address of its own, so that the ports are the same at all hosts.
	w.prefix = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
	return w, nil
}

func (w *world) close() {
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		<-h.ended
		_ = h.log.Close()
	}
	for _, f := range w.closers {
		f()
	}
	_ = os.RemoveAll(w.dir)
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// addHost starts a host that calls the store as a caller of its own name, so that the store can
// turn single hosts away.
func (w *world) addHost() (*host, error) {
	n := len(w.hosts) + 1
	h := &host{name: "front-" + strconv.Itoa(n), ip: w.prefix + "." + strconv.Itoa(n+1), binary: w.binary}
	handler := w.store.Handler()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		r.Header.Set(metastore.HostHeader, h.name)
		handler.ServeHTTP(rw, r)
	})}
	go func() { _ = server.Serve(l) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	ports := make([]int, 3)
	for i := range ports {
		if ports[i], err = freePort(h.ip); err != nil {
			return nil, err
		}
	}
	h.front, h.ready = net.JoinHostPort(h.ip, strconv.Itoa(ports[0])), net.JoinHostPort(h.ip, strconv.Itoa(ports[1]))
	settings, err := json.Marshal(map[string]any{
		"node": h.name, "role": "entry", "class": "front", "serves": []string{"front"}, "ip": h.ip,
		"zone": "here", "region": "region", "zones": map[string]string{"here": "region"},
		"listen":       map[string]string{"front": h.front, "ready": h.ready},
		"port_range":   []int{ports[2], ports[2]},
		"limits":       map[string]any{"cpu_share": 0.8, "cores": 1, "ram_mb": w.ramMB, "max_fds": 8200, "link_mbps": 1000},
		"heartbeat_ms": heartbeatMillis,
		"bounds":       map[string]any{"drain_ms": drainMillis, "grace_s": graceSeconds, "stable_window_ms": stableMillis, "config_apply_ms": 2000},
		"platform": map[string]any{"addr": l.Addr().String(), "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": 24,
			"append_ms": 1, "part_bw_s": 20, "read_bw_s": 80, "record_bytes": 262144, "call_bytes": 2097152, "retention_s": 300, "part_mb": 200, "ttl_min_ms": 1000},
	})
	if err != nil {
		return nil, err
	}
	h.config = filepath.Join(w.dir, h.name+".json")
	if err := os.WriteFile(h.config, settings, 0o600); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(w.dir, h.name+".log")); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	return h, h.start()
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := exec.Command(h.binary, "front")
	// Machines have one core.
	c.Env = append(os.Environ(), "YUCCAUSHER_CONFIG="+h.config, "YUCCAUSHER_METRICS_PORT=0", "GOMAXPROCS=1")
	c.Stdout, c.Stderr = h.log, h.log
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
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// peakKB returns the largest resident size of the process so far.
func (h *host) peakKB() int {
	h.mu.Lock()
	pid := h.process.Process.Pid
	h.mu.Unlock()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// isReady asks the readiness probe, as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var errNotReady = errors.New("a host is not ready in time")

func (w *world) awaitReady(hosts ...*host) error {
	deadline := time.Now().Add(startPatience)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// addHosts starts n hosts and waits until all are ready and know each other.
func (w *world) addHosts(n int) error {
	for range n {
		if _, err := w.addHost(); err != nil {
			return err
		}
	}
	if err := w.awaitReady(w.hosts...); err != nil {
		return err
	}
	// Hosts read each other's records every 4 s.
	time.Sleep(5 * time.Second)
	return nil
}

// configure writes the operator's record.
func (w *world) configure(version int, routes, services, extra string) {
	w.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s]%s,"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, routes, services, extra))
}

// register writes the record of a server now and at each heartbeat until ctx ends, unless the store is
// down.
func (w *world) register(ctx context.Context, id, service, address, version string) {
	born := time.Now().UnixMilli()
	write := func(seq int) {
		if w.isDown.Load() {
			return
		}
		w.store.Put("keyed.servers", id, fmt.Appendf(nil, `{"service":%q,"addr":%q,"zone":"here","version":%q,"slots":8,"state":"ready","cold_left_ms":0,"seq":%d,"born":%d}`, service, address, version, seq, born))
	}
	write(1)
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-ctx.Done():
				return
			case <-time.After(heartbeatMillis * time.Millisecond):
				write(seq)
			}
		}
	}()
}
