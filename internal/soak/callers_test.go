package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	turnMost      = 140
	smallBudget   = 2 * turnMost
	largeBudget   = 20 * turnMost
	callerTimeout = 4 * time.Second
	maxBackoff    = 300 * time.Millisecond
)

// attempt is one request of a caller and what came of it.
type attempt struct {
	id     string
	path   string
	host   string
	status int
	body   string
	// versions are those of the replicas that made the events.
	versions []string
	stamp    string
	isWhole  bool
	at       time.Time
	err      error
}

// callers send programs to random hosts and keep what they saw.
type callers struct {
	world *world

	mu       sync.Mutex
	attempts []attempt
	// tokens were handed out to each program.
	tokens  map[string]int
	budgets map[string]int
	// prompts are what targets are to get for the turns of conversations.
	prompts map[string]string
	// bringsNew is set while new contents come that end targets.
	bringsNew atomic.Bool
}

func newCallers(w *world) *callers {
	return &callers{world: w, tokens: make(map[string]int), budgets: make(map[string]int), prompts: make(map[string]string)}
}

// run sends programs until ctx ends.
func (c *callers) run(ctx context.Context, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		program := strconv.FormatUint(random.Uint64(), 36)
		budget, turns := largeBudget, 2+random.IntN(5)
		if random.IntN(5) == 0 {
			// A program that does not stop by itself.
			budget, turns = smallBudget, 12
		}
		c.mu.Lock()
		c.budgets[program] = budget
		c.mu.Unlock()
		for range turns {
			if ctx.Err() != nil {
				return
			}
			if status := c.request(ctx, transport, random, "/turns/x", program, budget); status == http.StatusPaymentRequired {
				break
			}
			path := "/lookup/x"
			if random.IntN(2) == 0 {
				path = "/posting/x"
			}
			c.request(ctx, transport, random, path, program, budget)
			time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		}
	}
}

// request sends a request and, after a refusal that allows it, once more.
func (c *callers) request(ctx context.Context, transport *http.Transport, random *rand.Rand, path, program string, budget int) int {
	status := 0
	last, first := "", ""
	var versions []string
	for range 3 {
		h := c.world.hosts[random.IntN(len(c.world.hosts))]
		a := c.send(ctx, transport, h, path, program, budget, strconv.FormatUint(random.Uint64(), 36), last, first)
		status = a.status
		if path == "/turns/x" {
			versions = append(versions, a.versions...)
			checkOneVersion(c.world.t, a.id, versions)
			if n := strings.Count(a.body, "\n\n"); n > 0 && !a.isWhole {
				last = strconv.Itoa(n + atoi(last))
				if first == "" {
					first = a.id
				}
				continue
			}
		}
		if status != http.StatusServiceUnavailable && status != 0 {
			return status
		}
		if status == 0 && path == "/posting/x" {
			return status
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxBackoff))))
	}
	return status
}

func atoi(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

func (c *callers) send(ctx context.Context, transport *http.Transport, h *host, path, program string, budget int, id, last, first string) attempt {
	header := http.Header{"Program": {program}}
	if path == "/turns/x" {
		header = turnHeader(program, budget)
		if last != "" {
			header.Set("Last-Event-Id", last)
			header.Set("Resumes", first)
		}
	}
	a := c.post(ctx, transport, h, path, id, "body of "+id, header)
	// An attempt that the end of the soak cuts short still counts.
	c.note(a, program, last)
	return a
}

// turnHeader is the header of a turn.
func turnHeader(program string, budget int) http.Header {
	return http.Header{
		"Program":      {program},
		"Accept":       {"text/event-stream"},
		"Token-Budget": {strconv.Itoa(budget)},
		"Tokens":       {"500," + strconv.Itoa(turnMost)},
	}
}

// post makes one attempt.
func (c *callers) post(ctx context.Context, transport *http.Transport, h *host, path, id, content string, header http.Header) attempt {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	a := attempt{id: id, path: path, host: h.name, at: time.Now()}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.address+path, strings.NewReader(content))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = "soak.example"
	r.Header = header
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline", "3000")
	r.Header.Set("Finish-Ms", "2000")
	response, err := transport.RoundTrip(r)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.err = response.StatusCode, err
	a.body, a.versions = splitVersions(string(body))
	a.stamp = response.Header.Get("Server-Stamp")
	a.isWhole = err == nil
	return a
}

func (c *callers) note(a attempt, program, last string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	if (a.path == "/turns/x" || a.path == talkPath) && a.status == http.StatusOK {
		c.tokens[program] += eventTokens * strings.Count(a.body, "\n\n")
		checkEvents(c.world.t, a.id, a.body, atoi(last), a.isWhole)
	}
}

// splitVersions removes the versions from the events of a stream and returns them.
func splitVersions(body string) (rest string, versions []string) {
	var b strings.Builder
	for line := range strings.Lines(body) {
		if v, ok := strings.CutPrefix(line, "version: "); ok && strings.HasSuffix(v, "\n") {
			versions = append(versions, strings.TrimSpace(v))
			continue
		}
		b.WriteString(line)
	}
	return b.String(), versions
}

// checkOneVersion holds the events of a stream, over all its attempts, against its first one.
func checkOneVersion(r reporter, id string, versions []string) {
	r.Helper()
	for _, v := range versions {
		if v != versions[0] {
			r.Errorf("attempt %s: events of versions %q in one stream", id, versions)
			return
		}
	}
}

// checkEvents holds the events of a stream against those that follow last.
func checkEvents(r reporter, id, body string, last int, isWhole bool) {
	r.Helper()
	if want := events(last+1, last+strings.Count(body, "\n\n")); !strings.HasPrefix(body, want) {
		r.Errorf("attempt %s: events %q, after %d", id, body, last)
	}
	if isWhole && body != events(last+1, streamEvents) {
		r.Errorf("attempt %s: stream looks whole with %q, after %d", id, body, last)
	}
}

func events(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: part %d\n\n", i, i)
	}
	return b.String()
}
