package spending

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
	"yuccausher/internal/standin/metastore"
)

const (
	// latency is the time of a call to the store.
	latency = 4 * time.Millisecond
	// partitions is how many partitions carry the claims.
	partitions = 8
)

// fleet is a number of hosts over one store.
type fleet struct {
	store *metastore.Store
	// mu guards hosts against those that ask a host as it starts again.
	mu    sync.Mutex
	hosts []*Service
	names []string
	// cut holds the hosts that reach no other host, frozen those that take
	// requests and do not answer.
	cut, frozen sync.Map
	// mute holds the hosts whose answers get lost once.
	mute sync.Map
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{store: metastore.New()}
	f.store.Latency = latency
	f.store.Timeout = time.Second
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("host-%d", i))
	}
	for i := range n {
		f.hosts = append(f.hosts, f.start(t, i))
	}
	// All have read the log.
	time.Sleep(readersInterval + time.Second)
	return f
}

// restart starts another run of each host's process.
func (f *fleet) restart(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.hosts {
		f.hosts[i] = f.start(t, i)
	}
}

// start starts a run of a host's process.
func (f *fleet) start(t *testing.T, i int) *Service {
	t.Helper()
	s := New(Params{
		Log:        f.store.Client(f.names[i]),
		Partitions: partitions,
		Peers:      &lenders{fleet: f, self: f.names[i]},
		Retention:  5 * time.Minute,
		Logger:     logr.Discard(),
		Scope:      tally.NoopScope,
	})
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s
}

// lenders are the other hosts of a fleet, a millisecond away.
type lenders struct {
	fleet *fleet
	self  string
}

func (l *lenders) Self() string { return l.self }

func (l *lenders) Hosts() []string {
	var others []string
	for _, name := range l.fleet.names {
		if name != l.self {
			others = append(others, name)
		}
	}
	return others
}

func (f *fleet) isCut(host string) bool {
	_, ok := f.cut.Load(host)
	return ok
}

func (l *lenders) reach(ctx context.Context, host string) (*Service, error) {
	time.Sleep(time.Millisecond)
	if l.fleet.isCut(l.self) || l.fleet.isCut(host) {
		return nil, errors.New("cut off")
	}
	if _, isFrozen := l.fleet.frozen.Load(host); isFrozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if s := l.fleet.host(host); s != nil {
		return s, nil
	}
	return nil, errors.New("unknown host")
}

// host returns the host of that name.
func (f *fleet) host(name string) *Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.names {
		if other == name {
			return f.hosts[i]
		}
	}
	return nil
}

// order returns the names of the hosts in the order of a program's partition.
func (f *fleet) order(program string) []string {
	s := f.hosts[0]
	return s.order(s.part(program))
}

// freeze lets a host take requests without an answer.
func (f *fleet) freeze(host string) { f.frozen.Store(host, true) }

func (l *lenders) Reserve(ctx context.Context, host string, r port.LendRequest) (port.LendAnswer, error) {
	s, err := l.reach(ctx, host)
	if err != nil {
		return port.LendAnswer{}, err
	}
	if _, isMute := l.fleet.mute.LoadAndDelete(host); isMute {
		s.Lend(context.WithoutCancel(ctx), r)
		return port.LendAnswer{}, errors.New("connection was reset")
	}
	return s.Lend(ctx, r), nil
}

func (l *lenders) Settle(ctx context.Context, host string, reservation uint64, spent int64) error {
	s, err := l.reach(ctx, host)
	if err != nil {
		return err
	}
	s.SettleLoan(reservation, spent)
	return nil
}

func (l *lenders) Note(ctx context.Context, host string, n port.BudgetNote) error {
	s, err := l.reach(ctx, host)
	if err != nil {
		return err
	}
	s.Note(n)
	return nil
}

// turn runs a turn that may hand out most tokens and hands out spent.
func turn(s *Service, program string, budget, most, spent int64) error {
	r, err := s.Reserve(context.Background(), program, budget, most)
	if err != nil {
		return err
	}
	r.Spend(spent)
	r.Release()
	return nil
}

func isSpent(err error) bool {
	var spent *gateway.BudgetSpentError
	return errors.As(err, &spent)
}

func isUnknown(err error) bool {
	var unknown *gateway.BudgetUnknownError
	return errors.As(err, &unknown)
}

// outage makes the store refuse all hosts and waits until they have noticed.
func (f *fleet) outage() {
	f.store.SetFaults(metastore.EveryHost, metastore.Faults{Refuse: true})
	for i := range f.hosts {
		_ = turn(f.hosts[i], fmt.Sprint("probe", i), 20000, 280, 70)
	}
	time.Sleep(500 * time.Millisecond)
}

// end makes the others lose a host, and the host lose the store.
func (f *fleet) end(host string) {
	f.cut.Store(host, true)
	f.store.SetFaults(host, metastore.Faults{Refuse: true})
}

// runaway asks for turns at all hosts but those that have ended, and returns
// how many tokens were handed out.
func (f *fleet) runaway(budget, most int64) int64 {
	var handed int64
	for i, name := range f.names {
		if f.isCut(name) {
			continue
		}
		if turn(f.hosts[i], "runaway", budget, most, most) == nil {
			handed += most
		}
	}
	return handed
}
