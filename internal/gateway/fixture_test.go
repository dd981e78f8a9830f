package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/route"
	"yuccausher/internal/gateway"
	"yuccausher/internal/quarantine"
	"yuccausher/internal/standin/replica"
	"yuccausher/internal/upstream"
	"yuccausher/platform"
)

// The services and paths of the routes in tests.
const (
	models = "models"
	app    = "app"

	lookup  = "/lookup/x"
	posting = "/posting/x"
	turns   = "/turns/x"
	single  = "/single/x"
	talk    = "/talk/x"
)

// site is a gateway before stand-ins of targets.
type site struct {
	t       *testing.T
	tables  *route.Holder
	fleet   *fleet.Fleet
	gateway *gateway.Gateway
	budgets *budgets
	archive *archive
	// quarantine is the host's own; no other host tells it of crashes.
	quarantine *quarantine.Service
	server     *httptest.Server
	replicas   map[string]*replica.Replica
}

func document() route.Document {
	return route.Document{
		Version: 1,
		Limits:  route.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20},
		Routes: []route.Route{
			{Name: "lookup", Host: "a.example", Prefix: "/lookup/", Kind: route.Idempotent, Timeout: 5 * time.Second, Objective: time.Second, Attempts: 2, Shares: share(app)},
			{Name: "prompt", Host: "a.example", Prefix: "/prompt/", Kind: route.Idempotent, Timeout: 5 * time.Second, Objective: 50 * time.Millisecond, Attempts: 2, Shares: share(app)},
			{Name: "prompt-posting", Host: "a.example", Prefix: "/prompt-posting/", Kind: route.Once, Timeout: 500 * time.Millisecond, Objective: 50 * time.Millisecond, Attempts: 2, Shares: share(app)},
			{Name: "posting", Host: "a.example", Prefix: "/posting/", Kind: route.Once, Timeout: 5 * time.Second, Objective: time.Second, Attempts: 1, Shares: share(app)},
			{Name: "turns", Host: "a.example", Prefix: "/turns/", Kind: route.Stream, Resumable: true, Timeout: 5 * time.Second, Objective: time.Second, Attempts: 2, Shares: share(models), CarriesPrograms: true},
			{Name: "single", Host: "a.example", Prefix: "/single/", Kind: route.Stream, Resumable: true, Timeout: 5 * time.Second, Objective: time.Second, Attempts: 1, Shares: share(models), CarriesPrograms: true},
			{Name: "talk", Host: "a.example", Prefix: "/talk/", Kind: route.Stream, Timeout: 2 * time.Second, Objective: time.Second, Attempts: 2, Shares: share(models), CarriesPrograms: true, KeepsConversations: true, Retention: time.Minute},
			{Name: "brief", Host: "a.example", Prefix: "/brief/", Kind: route.Idempotent, Timeout: 100 * time.Millisecond, Objective: time.Second, Attempts: 2, Shares: share(app)},
			{Name: "brief-posting", Host: "a.example", Prefix: "/brief-posting/", Kind: route.Once, Timeout: 100 * time.Millisecond, Objective: time.Second, Attempts: 1, Shares: share(app)},
		},
		Services: []route.Service{{Name: app}, {Name: models, Engine: &route.Engine{EventTokens: 14}}},
	}
}

func share(service string) []route.Share { return []route.Share{{Service: service, Weight: 1}} }

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, tables: &route.Holder{}, fleet: fleet.New("here", 1), budgets: &budgets{}, archive: &archive{turns: make(map[string]conversation.Chain)}, replicas: make(map[string]*replica.Replica)}
	pool := upstream.NewPool(tally.NoopScope)
	s.quarantine = quarantine.New(quarantine.Params{Probe: pool.Probe, Logger: logr.Discard(), Scope: tally.NoopScope})
	s.gateway = gateway.New(gateway.Params{
		Protocol:      platform.Headers{},
		Tables:        s.tables,
		Fleet:         s.fleet,
		Pool:          pool,
		Budgets:       s.budgets,
		Conversations: s.archive,
		Quarantine:    s.quarantine,
		TargetsReadAt: time.Now,
		Log:           logr.Discard(),
		Scope:         tally.NoopScope,
	})
	s.tables.StoreIfNewer(route.NewTable(document()))
	s.server = httptest.NewServer(s.gateway)
	t.Cleanup(func() {
		s.server.CloseClientConnections()
		s.server.Close()
		_ = s.quarantine.Stop(context.Background())
		pool.Close()
		for _, r := range s.replicas {
			r.Close()
		}
	})
	return s
}

// add starts a replica of a service.
func (s *site) add(service string, o replica.Options) *replica.Replica {
	s.t.Helper()
	r, err := replica.Listen("127.0.0.1:0", o)
	if err != nil {
		s.t.Fatal(err)
	}
	s.replicas[o.ID] = r
	s.fleet.Put(fleet.Member{ID: o.ID, Service: service, Address: r.Address(), DataCentre: "here", Slots: 8})
	return r
}

// request is a request of a caller.
type request struct {
	method, path, id, body string
	header                 http.Header
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// err says that the answer is not whole.
	err error
}

func (s *site) do(r request) answer {
	s.t.Helper()
	a, err := s.try(context.Background(), r)
	if err != nil {
		s.t.Fatal(err)
	}
	return a
}

func (s *site) try(ctx context.Context, r request) (answer, error) {
	if r.method == "" {
		r.method = http.MethodGet
	}
	out, err := http.NewRequestWithContext(ctx, r.method, s.server.URL+r.path, strings.NewReader(r.body))
	if err != nil {
		return answer{}, err
	}
	out.Host = "a.example"
	if r.header != nil {
		out.Header = r.header.Clone()
	}
	out.Header.Set("Request-Id", r.id)
	if strings.HasPrefix(r.path, turns) || strings.HasPrefix(r.path, single) || strings.HasPrefix(r.path, talk) {
		out.Header.Set("Accept", "text/event-stream")
	}
	response, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}, nil
}

// raw sends bytes to the gateway and returns its first answer.
func (s *site) raw(data string) *http.Response {
	s.t.Helper()
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, data); err != nil {
		s.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	return response
}

// runsOf counts how often a request ran at any replica.
func (s *site) runsOf(id string) int {
	n := 0
	for _, r := range s.replicas {
		for _, run := range r.Runs() {
			if run.RequestID == id {
				n++
			}
		}
	}
	return n
}

// budgets grants all reservations but those of programs that it refuses.
type budgets struct {
	mu      sync.Mutex
	refused map[string]error
	spent   int64
	open    int
}

func (b *budgets) Reserve(_ context.Context, program string, _, _ int64) (gateway.Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.refused[program]; err != nil {
		return nil, err
	}
	b.open++
	return &reservation{budgets: b}, nil
}

func (b *budgets) state() (spent int64, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.open
}

type reservation struct{ budgets *budgets }

func (r *reservation) Spend(tokens int64) {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	r.budgets.spent += tokens
}

func (r *reservation) Release() {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	r.budgets.open--
}

// turnHeader is the header of a turn of a program.
func turnHeader(program string) http.Header {
	return http.Header{"Program": {program}, "Token-Budget": {"1000"}, "Tokens": {"500,280"}}
}

// events returns the body of a stream of events from first to last.
func events(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: part %d\n\n", i, i)
	}
	return b.String()
}

// archive keeps turns in memory.
type archive struct {
	mu    sync.Mutex
	turns map[string]conversation.Chain
	// fail is what the next calls return.
	fail error
	// pause is how long it takes to keep a turn.
	pause time.Duration
}

func (a *archive) Chain(_ context.Context, _, turn string) (conversation.Chain, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fail != nil {
		return nil, a.fail
	}
	if chain := a.turns[turn]; chain != nil {
		return chain, nil
	}
	return nil, &gateway.UnknownTurnError{Turn: turn}
}

func (a *archive) Save(ctx context.Context, before conversation.Chain, t conversation.Turn) error {
	select {
	case <-time.After(a.pause):
	case <-ctx.Done():
		return ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.turns[t.ID] = append(before[:len(before):len(before)], before.Next(t, time.Now(), time.Minute))
	return nil
}
