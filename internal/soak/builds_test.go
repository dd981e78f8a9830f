package soak

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// earlierBuild gives back what a turn has not spent some time after its end, and knows no
	// fences and no claims for hosts that have ended.
	earlierBuild = "b1c9125"
	// slowTurn is how long a turn of a slow target takes.
	slowTurn = 1500 * time.Millisecond
)

// buildEarlier builds the program as it was at a commit.
func buildEarlier(t *testing.T, commit string) string {
	t.Helper()
	dir := t.TempDir()
	top, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		t.Skip("no history to build an earlier program from")
	}
	archive := exec.Command("git", "-C", strings.TrimSpace(string(top)), "archive", "-o", filepath.Join(dir, "source.tar"), commit,
		"go.mod", "go.sum", "cmd", "internal", "platform", "proto")
	if text, err := archive.CombinedOutput(); err != nil {
		t.Fatalf("archive: %v\n%s", err, text)
	}
	source := filepath.Join(dir, "source")
	if err := os.Mkdir(source, 0o755); err != nil {
		t.Fatal(err)
	}
	if text, err := exec.Command("tar", "-xf", filepath.Join(dir, "source.tar"), "-C", source).CombinedOutput(); err != nil {
		t.Fatalf("tar: %v\n%s", err, text)
	}
	binary := filepath.Join(dir, "yuccausher")
	build := exec.Command("go", "build", "-o", binary, "./cmd/yuccausher")
	build.Dir = source
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, text)
	}
	return binary
}

// useSlowModels makes all turns run at targets that take slowTurn for streamEvents events.
func (w *world) useSlowModels() {
	w.mu.Lock()
	for _, target := range w.targets {
		target.isLeaving = target.isLeaving || target.service == "models"
	}
	w.mu.Unlock()
	for i := range modelTargets {
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get("Request-Id")
			rw.Header().Set("Request-Id", id)
			rw.Header().Set("Server-Stamp", id)
			rw.Header().Set("Content-Type", "text/event-stream")
			for event := range streamEvents {
				_, _ = fmt.Fprintf(rw, "id: %d\ndata: part\n\n", event+1)
				_ = http.NewResponseController(rw).Flush()
				time.Sleep(slowTurn / streamEvents)
			}
		}))
		w.t.Cleanup(server.Close)
		record := fmt.Sprintf(`{"service":"models","addr":%q,"zone":"here","version":"v1","slots":100,"state":"ready","seq":1,"born":%d}`,
			strings.TrimPrefix(server.URL, "http://"), time.Now().UnixMilli())
		w.store.Put("keyed.servers", fmt.Sprint("slow-model-", i), []byte(record))
	}
	time.Sleep(drainMillis * time.Millisecond)
}

// turn runs a turn and returns its status and how many tokens its caller got; 0 without an answer.
func (w *world) turn(h *host, program, id string, budget, most int) (status, tokens int) {
	r, err := http.NewRequestWithContext(w.t.Context(), http.MethodPost, "http://"+h.address+"/turns/x", strings.NewReader("hello"))
	w.must(err)
	r.Host = "soak.example"
	for name, value := range map[string]string{"Request-Id": id, "Program": program, "Session": program, "Deadline": "3000",
		"Tokens": fmt.Sprintf("100,%d", most), "Token-Budget": fmt.Sprint(budget)} {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.Count(string(body), "data:") * eventTokens
}

// Hosts of an earlier build serve beside new ones. A new host is killed while turns run whose tokens
// it has reserved; the new host that runs them gives back what they do not spend. The hosts of the
// earlier build have to count that record like the new ones: their book alone decides in the end,
// when all new hosts are gone. Before, such programs were refused for good with 830 of their 900
// tokens left.
func TestHostsOfTwoBuildsCountTokensAlike(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const programs, budget, most = 48, 900, 572
	earlier := buildEarlier(t, earlierBuild)
	w := newWorld(t, buildBinary(t))
	for _, h := range w.hosts[2:] {
		h.signal(syscall.SIGKILL)
		h.awaitEnd(time.Second)
		h.command[0] = earlier
		h.start(t)
		h.awaitReady(t)
	}
	w.useSlowModels()
	var tokens [programs]int
	runAll := func(round string, hostOf func(program int) *host) (refused int) {
		var statuses [programs]int
		var running sync.WaitGroup
		for i := range programs {
			running.Go(func() {
				status, n := w.turn(hostOf(i), fmt.Sprint("two-builds-", i), fmt.Sprintf("%s-%d", round, i), budget, most)
				statuses[i] = status
				tokens[i] += n
			})
		}
		if round == "first" {
			time.Sleep(slowTurn / 3)
			w.hosts[0].signal(syscall.SIGKILL)
			w.hosts[0].awaitEnd(time.Second)
			w.hosts[0].start(t)
		}
		running.Wait()
		for _, status := range statuses {
			if status != http.StatusOK {
				refused++
			}
		}
		return refused
	}
	if n := runAll("first", func(int) *host { return w.hosts[1] }); n > 0 {
		t.Fatalf("%d of %d first turns were not served", n, programs)
	}
	w.hosts[0].awaitReady(t)
	time.Sleep(3 * time.Second)
	for _, h := range w.hosts[:2] {
		h.signal(syscall.SIGKILL)
		h.awaitEnd(time.Second)
	}
	if n := runAll("second", func(i int) *host { return w.hosts[2+i%2] }); n > 0 {
		t.Errorf("%d of %d programs got no further turn from hosts of the earlier build", n, programs)
	}
	for round := 0; runAll(fmt.Sprint("more-", round), func(i int) *host { return w.hosts[2+i%2] }) < programs; round++ {
		if round > 2*budget/(streamEvents*eventTokens) {
			t.Fatal("programs go on beyond their budgets")
		}
	}
	for i, n := range tokens {
		if n > budget+most {
			t.Errorf("program %d got %d tokens of %d + %d", i, n, budget, most)
		}
	}
}
