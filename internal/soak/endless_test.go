package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// hostMemory is the memory of a host, as its settings say.
	hostMemory     = 144 << 20
	endlessTargets = 6
	endlessCallers = 400
	endlessTime    = 4 * time.Second
	// otherRequests are sent to sound targets meanwhile.
	otherRequests = 30
)

// listenEndless starts a faulty target that answers each request with head and then unit without
// end, until the connection is closed. In head and unit, %ID% stands for the request's ID.
func listenEndless(t *testing.T, head, unit string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if _, err := io.WriteString(c, strings.ReplaceAll(head, "%ID%", r.Header.Get("Request-Id"))); err != nil {
					return
				}
				data := strings.Repeat(unit, 1+(32<<10)/len(unit))
				for err == nil {
					_, err = io.WriteString(c, data)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// peakMemory returns the largest resident memory of the host's process so far, in bytes.
func (h *host) peakMemory(t *testing.T) int {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				t.Fatal(err)
			}
			return n << 10
		}
	}
	t.Fatal("the process has no peak of memory")
	return 0
}

// Faulty targets send bytes without end that are no answer, in a header or in a body, to many
// callers that read slowly. Each answer was bounded and their sum was not: a host kept up to 888 MB
// of them, and one that exceeds its memory is killed with the requests of all other callers.
func TestBytesWithoutEndDoNotFillAHost(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nServer-Stamp: %ID%\r\nRequest-Id: %ID%\r\n\r\n"
	binary := buildBinary(t)
	for _, c := range []struct{ name, path, head, unit string }{
		{"events", "talk", stream, "data: " + strings.Repeat("x", 200) + "\n\n"},
		{"lines that end no event", "talk", stream, "data: " + strings.Repeat("x", 200) + "\n"},
		{"line without end", "turns", stream, strings.Repeat("x", 1000)},
		{"header of many fields", "turns", "HTTP/1.1 200 OK\r\n", "a:b\r\n"},
		{"body", "lookup", "HTTP/1.1 200 OK\r\nServer-Stamp: %ID%\r\nRequest-Id: %ID%\r\n\r\n", strings.Repeat("x", 1000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, binary)
			service := "models"
			if c.path == "lookup" {
				service = "app"
			}
			for i := range endlessTargets {
				record := fmt.Sprintf(`{"service":%q,"addr":%q,"zone":"here","version":"v1","slots":400,"state":"ready","seq":1,"born":%d}`,
					service, listenEndless(t, c.head, c.unit), time.Now().UnixMilli())
				w.store.Put("keyed.servers", fmt.Sprint("endless-", i), []byte(record))
			}
			time.Sleep(time.Second)
			h := w.hosts[0]
			ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
			defer cancel()
			var calling sync.WaitGroup
			for i := range endlessCallers {
				calling.Go(func() { callSlowly(ctx, h.address, c.path, i) })
			}
			if c.path != "lookup" {
				time.Sleep(endlessTime / 4)
				for i := range otherRequests {
					checkLookup(t, h.address, fmt.Sprintf("%s-%d", c.name, i))
				}
			}
			calling.Wait()
			peak := h.peakMemory(t)
			t.Logf("peak of memory: %d MB", peak>>20)
			if peak > hostMemory {
				t.Errorf("the host used %d MB of %d", peak>>20, hostMemory>>20)
			}
		})
	}
}

// checkLookup sends a request to a sound target.
func checkLookup(t *testing.T, address, id string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/lookup/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "soak.example"
	r.Header.Set("Request-Id", strings.ReplaceAll(id, " ", "-"))
	r.Header.Set("Deadline", "3000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Errorf("request to a sound target: %v", err)
		return
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("request to a sound target: status %d", response.StatusCode)
	}
}

// callSlowly sends requests one after the other and reads their answers slowly, until ctx ends.
func callSlowly(ctx context.Context, address, path string, caller int) {
	dialer := net.Dialer{Timeout: time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		method := http.MethodPost
		if path == "lookup" {
			method = http.MethodGet
		}
		id := fmt.Sprintf("endless-%d-%d", caller, i)
		_, _ = fmt.Fprintf(conn, "%s /%s/x HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: %s\r\nProgram: %s\r\nSession: %s\r\nTokens: 100,140\r\nToken-Budget: 280\r\nDeadline: 3000\r\nContent-Length: 5\r\n\r\nhello",
			method, path, id, id, id)
		buffer := make([]byte, 4<<10)
		for {
			if _, err := conn.Read(buffer); err != nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		stop()
		_ = conn.Close()
	}
}
