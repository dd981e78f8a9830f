package conversation

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/adapter/conversationrpc"
	"yuccausher/internal/core/conversation"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
	"yuccausher/internal/standin/metastore"
)

const (
	// latency is the time of a call to the store.
	latency = 4 * time.Millisecond
	// partitions is how many partitions carry the turns.
	partitions = 8
	// retention is for how long a turn must be kept.
	retention = time.Minute
	// recordBytes and callBytes bound a record and a call.
	recordBytes, callBytes = 4 << 10, 16 << 10
	// deadline is what a caller allows a turn.
	deadline = 3 * time.Second
)

// fleet is a number of hosts over one store.
type fleet struct {
	store  *metastore.Store
	memory int
	names  []string

	mu    sync.Mutex
	hosts map[string]*Service
	// cut holds the hosts that reach no other host, frozen those that take
	// requests and do not answer.
	cut, frozen map[string]bool
	// finds counts the look-ups at other hosts.
	finds int
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{store: metastore.New(), memory: 1 << 20, hosts: make(map[string]*Service), cut: make(map[string]bool), frozen: make(map[string]bool)}
	f.store.Latency = latency
	f.store.Timeout = 900 * time.Millisecond
	for i := range n {
		f.names = append(f.names, fmt.Sprint("host-", i))
	}
	for _, name := range f.names {
		f.start(t, name)
	}
	return f
}

// start starts a run of a host's process, which knows nothing of an earlier one.
func (f *fleet) start(t *testing.T, name string) {
	t.Helper()
	s := New(Params{
		Log:         f.store.Client(name),
		Partitions:  partitions,
		RecordBytes: recordBytes,
		CallBytes:   callBytes,
		Peers:       &peers{fleet: f, self: name},
		Retention:   func() time.Duration { return retention },
		MemoryBytes: f.memory,
		Logger:      logr.Discard(),
		Scope:       tally.NoopScope,
	})
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	f.hosts[name] = s
	f.mu.Unlock()
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
}

// restart makes hosts lose all that they know.
func (f *fleet) restart(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		f.host(name).stop()
	}
	for _, name := range names {
		f.start(t, name)
	}
}

func (f *fleet) host(name string) *Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[name]
}

func (f *fleet) set(m map[string]bool, name string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m[name] = on
}

func (f *fleet) is(m map[string]bool, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return m[name]
}

// peers are the other hosts, a millisecond away.
type peers struct {
	fleet *fleet
	self  string
}

func (p *peers) Self() string { return p.self }

func (p *peers) IsKnown() bool { return true }

func (p *peers) Hosts() []string {
	var others []string
	for _, name := range p.fleet.names {
		if name != p.self {
			others = append(others, name)
		}
	}
	return others
}

var errCut = errors.New("cut off")

func (p *peers) reach(ctx context.Context, host string) (*Service, error) {
	time.Sleep(time.Millisecond)
	if p.fleet.is(p.fleet.cut, p.self) || p.fleet.is(p.fleet.cut, host) {
		return nil, errCut
	}
	if p.fleet.is(p.fleet.frozen, host) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p.fleet.host(host), nil
}

func (p *peers) Find(ctx context.Context, host string, q port.TurnQuery) (port.Finding, conversation.Chain, error) {
	p.fleet.mu.Lock()
	p.fleet.finds++
	p.fleet.mu.Unlock()
	s, err := p.reach(ctx, host)
	if err != nil {
		return port.TurnUncertain, nil, err
	}
	finding, chain := s.FindLocal(ctx, q)
	return finding, overTheWire(chain), nil
}

// overTheWire returns a chain as its receiver gets it.
func overTheWire(chain conversation.Chain) conversation.Chain {
	reply := conversationrpc.EncodeChain(chain)
	received, err := conversationrpc.DecodeChain(reply)
	if err != nil {
		return nil
	}
	return received
}

func (p *peers) Keep(ctx context.Context, host string, t *conversation.Turn, c port.KeepMode) (bool, error) {
	s, err := p.reach(ctx, host)
	if err != nil {
		return false, err
	}
	return s.KeepLocal(ctx, t, c), nil
}

// dialogue is a conversation as its caller sees it.
type dialogue struct {
	fleet   *fleet
	program string
	last    string
	said    string
	turns   int
}

func (f *fleet) dialogue(program string) *dialogue { return &dialogue{fleet: f, program: program} }

// turn runs the next turn at a host, as its gateway does. The error is that of the
// look for the turns before, or that the answer was cut before its end.
func (d *dialogue) turn(host string) error {
	s := d.fleet.host(host)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var chain conversation.Chain
	if d.last != "" {
		var err error
		if chain, err = s.Chain(ctx, d.program, d.last); err != nil {
			return err
		}
	}
	input := fmt.Sprintf("%s asks %d;", d.program, d.turns)
	if got := string(chain.Prompt([]byte(input))); got != d.said+input {
		return fmt.Errorf("the target got %q, want %q", got, d.said+input)
	}
	t := conversation.Turn{ID: fmt.Sprintf("%s-%d", d.program, d.turns), Program: d.program, Input: []byte(input), Output: []byte("answer\n")}
	d.turns++
	if err := s.Save(ctx, chain, t); err != nil {
		return err
	}
	d.last = t.ID
	d.said += input + "answer\n"
	return nil
}

func isUnknown(err error) bool {
	var unknown *gateway.UnknownTurnError
	return errors.As(err, &unknown)
}

func isUncertain(err error) bool {
	var uncertain *gateway.UncertainTurnError
	return errors.As(err, &uncertain)
}

// order returns the hosts in the order in which they look after a program's turns.
func (f *fleet) order(program string) []string {
	s := f.host(f.names[0])
	return s.order(s.partOf(program))
}
