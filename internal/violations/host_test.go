package violations

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"yuccausher/internal/standin/metastore"
	"yuccausher/internal/standin/replica"
	"yuccausher/internal/testutil"
)

const (
	// hostMegabytes is the memory of the smallest host of the users.
	hostMegabytes = 112
	// maxDescriptors is the settings' limit of descriptors, lowered so that a small crowd exceeds it.
	maxDescriptors = 500
	// fullDescriptors is the limit of descriptors of the smallest host of the users.
	fullDescriptors = 3075
	// reservedDescriptors of them are the platform's.
	reservedDescriptors = 200
	// headerBytes and bodyBytes are the limits of the test's configuration; the first is the users'.
	headerBytes = 16 << 10
	bodyBytes   = 256 << 10
	// heartbeat is the interval of the target's records.
	heartbeat = 400 * time.Millisecond
	// answerPatience bounds the wait for an answer. It only tells a hanging process from a slow one.
	answerPatience = 30 * time.Second
	// attemptPatience bounds one attempt of a request.
	attemptPatience = 5 * time.Second
	// retryPause is the time between attempts of a request that was refused.
	retryPause = 100 * time.Millisecond
	// samplePause is the time between two counts of descriptors.
	samplePause = 20 * time.Millisecond
)

// binary is the command under test, built once for all tests.
var binary string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "yuccausher")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "yuccausher")
	build := exec.Command("go", "build", "-o", binary, "yuccausher/cmd/yuccausher")
	if text, err := build.CombinedOutput(); err != nil {
		panic(string(text))
	}
	return m.Run()
}

// host is a process of the system before a store and one target.
type host struct {
	t       *testing.T
	process *exec.Cmd
	ended   chan struct{}
	log     string
	// The addresses of the ports, all IP:PORT.
	callers, ready, metrics, peers string
	// maxDescriptors is the settings' limit.
	maxDescriptors int
	// descriptors is the largest number of open descriptors that was seen.
	descriptors int
}

// startHost starts a process whose settings allow it so many descriptors.
func startHost(t *testing.T, descriptors int) *host {
	t.Helper()
	store := metastore.New()
	server := httptest.NewServer(store.Handler())
	target, err := replica.Listen("127.0.0.1:0", replica.Options{ID: "app-1", Slots: 100})
	if err != nil {
		t.Fatal(err)
	}
	configuration := fmt.Sprintf(`{"version":1,"routes":[{"name":"lookup","host":"test.example","prefix":"/lookup/","kind":"safe","timeout_ms":5000,"goal_ms":400,"prio":0,"service":"app","attempts":2}],`+
		`"services":[{"name":"app","max_conns":100}],"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, headerBytes, bodyBytes)
	store.Put("keyed.op", "config", []byte(configuration))
	register := func() {
		store.Put("keyed.servers", "app-1", fmt.Appendf(nil, `{"service":"app","addr":%q,"zone":"here","version":"v1","slots":100,"state":"ready","seq":1,"born":1700000000000}`, target.Address()))
	}
	register()
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				register()
			}
		}
	}()
	h := &host{t: t, maxDescriptors: descriptors, ended: make(chan struct{}), callers: testutil.FreeAddress(t), ready: testutil.FreeAddress(t), metrics: testutil.FreeAddress(t), peers: testutil.FreeAddress(t)}
	peerPort := port(h.peers)
	settings, err := json.Marshal(map[string]any{
		"node": "host-1", "ip": "127.0.0.1", "zone": "here", "zones": map[string]string{"here": "region"},
		"listen":       map[string]string{"front": h.callers, "ready": h.ready},
		"port_range":   []int{peerPort, peerPort},
		"limits":       map[string]int{"ram_mb": hostMegabytes, "max_fds": descriptors},
		"heartbeat_ms": heartbeat.Milliseconds(),
		"bounds":       map[string]int{"drain_ms": 1500, "grace_s": 5},
		"platform":     map[string]any{"addr": server.Listener.Addr().String(), "form": "log", "parts": 4, "retention_s": 300, "record_bytes": 1 << 18, "call_bytes": 1 << 21},
	})
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	h.log = filepath.Join(dir, "host.log")
	output, err := os.Create(h.log)
	if err != nil {
		t.Fatal(err)
	}
	h.process = exec.Command(binary, "front", "-config", file, "-metrics-port", strconv.Itoa(port(h.metrics)))
	h.process.Stdout, h.process.Stderr = output, output
	if err := h.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(h.ended)
		_ = h.process.Wait()
	}()
	t.Cleanup(func() {
		_ = h.process.Process.Signal(syscall.SIGKILL)
		<-h.ended
		_ = output.Close()
		if t.Failed() {
			text, _ := os.ReadFile(h.log)
			t.Logf("end of the host's log:\n%s", text[max(0, len(text)-4000):])
		}
		close(stop)
		server.CloseClientConnections()
		server.Close()
		target.Close()
	})
	h.checkAnswers()
	return h
}

func port(address string) int {
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		panic(err)
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return n
}

// checkAnswers sends an ordinary request to each HTTP port and tries again after a refusal, as
// ordinary callers do. It fails if one gets no answer.
func (h *host) checkAnswers() {
	h.t.Helper()
	for _, request := range []struct{ method, url, body string }{
		{http.MethodGet, "http://" + h.ready + "/api/ready", ""},
		{http.MethodGet, "http://" + h.metrics + "/metrics", ""},
		{http.MethodPost, "http://" + h.callers + "/lookup/x", "hello"},
	} {
		last := ""
		for deadline := time.Now().Add(answerPatience); last != "200 OK"; time.Sleep(retryPause) {
			if time.Now().After(deadline) || h.hasEnded() {
				h.t.Errorf("%s %s got no answer, last: %s", request.method, request.url, last)
				return
			}
			last = send(request.method, request.url, request.body)
		}
	}
}

// send makes a request on a connection of its own and returns the answer's status or the error.
func send(method, url, body string) string {
	client := http.Client{Timeout: attemptPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	if strings.Contains(url, "/lookup/") {
		r.Host = "test.example"
		r.Header.Set("Request-Id", strconv.FormatInt(time.Now().UnixNano(), 36))
		r.Header.Set("Deadline", "5000")
	}
	response, err := client.Do(r)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err.Error()
	}
	return response.Status
}

func (h *host) hasEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// watch counts the open descriptors until stop is closed.
func (h *host) watch(stop <-chan struct{}) {
	for {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.process.Process.Pid))
		if err == nil {
			h.descriptors = max(h.descriptors, len(entries))
		}
		select {
		case <-stop:
			return
		case <-time.After(samplePause):
		}
	}
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (h *host) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		h.t.Error(err)
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				h.t.Error(err)
			}
			return n << 10
		}
	}
	h.t.Error("the process has no peak of memory")
	return 0
}
