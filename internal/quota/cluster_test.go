package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	core "yuccausher/internal/core/quota"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
	"yuccausher/internal/testutil"
)

// tolerance is the users' default.
var tolerance = core.Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20}

const customer = "customer"

// transitTime is the longest that two messages, to a coordinator and back, take.
const transitTime = 4 * time.Millisecond

// cluster is a number of hosts in one process. Its fields are protected by mu.
type cluster struct {
	t     testing.TB
	limit gateway.OrganisationLimit
	// entry is used by the test only, random by messages.
	entry *rand.Rand

	mu       sync.Mutex
	random   *rand.Rand
	names    []string
	services map[string]*Service
	// views are the hosts that a host knows, if not all; side is where a host is while links
	// are cut; loss is the part of messages that are lost, half of them on the way back.
	views    map[string][]string
	side     map[string]int
	loss     float64
	messages int
	admitted []time.Time
	// room is a token bucket that no host has a part in: refused requests for which it had room
	// were within the limit.
	room              float64
	roomAt            time.Time
	refused, wrongful int
}

func newCluster(t testing.TB, n int, perSecond, burst float64, seed uint64) *cluster {
	c := &cluster{t: t, limit: gateway.OrganisationLimit{PerSecond: perSecond, Burst: burst, Version: 1}, entry: rand.New(rand.NewPCG(seed, 3)), random: rand.New(rand.NewPCG(seed, 7)),
		services: make(map[string]*Service), views: make(map[string][]string), side: make(map[string]int), room: burst, roomAt: time.Now()}
	for i := range n {
		c.names = append(c.names, fmt.Sprint("host-", i))
	}
	for _, name := range c.names {
		c.start(name)
	}
	return c
}

// start starts a host, or replaces one that has ended.
func (c *cluster) start(name string) {
	s := New(Params{Peers: peers{c, name}, Tolerance: tolerance, Logger: logr.Discard(), Scope: tally.NoopScope})
	c.change(func() { c.services[name] = s })
	_ = s.Start(context.Background()) // returns no error
	c.t.Cleanup(func() { _ = s.Stop(context.Background()) })
}

func (c *cluster) change(set func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set()
}

// request sends a request to a host and returns its admission; nil if it was refused.
func (c *cluster) request(name string) gateway.Admission {
	c.mu.Lock()
	s, limit := c.services[name], c.limit
	c.mu.Unlock()
	a, err := s.Admit(c.t.Context(), customer, limit)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.room = min(c.room+limit.PerSecond*now.Sub(c.roomAt).Seconds(), limit.Burst)
	c.roomAt = now
	if err != nil {
		c.refused++
		// The room may have come while the answer was on its way.
		if c.room >= 1+limit.PerSecond*transitTime.Seconds() {
			c.wrongful++
		}
		return nil
	}
	c.room--
	c.admitted = append(c.admitted, now)
	return a
}

// run sends requests at a rate for a time, each to the host that pick returns.
func (c *cluster) run(perSecond float64, length time.Duration, pick func() string) {
	var all sync.WaitGroup
	for until := time.Now().Add(length); time.Now().Before(until); {
		name := pick()
		all.Go(func() { c.request(name) })
		time.Sleep(time.Duration(c.entry.ExpFloat64() / perSecond * float64(time.Second)))
	}
	all.Wait()
}

// counts returns how many requests were admitted, refused, and refused though they were within the limit,
// and the messages.
func (c *cluster) counts() (admitted, refused, wrongful, messages int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.admitted), c.refused, c.wrongful, c.messages
}

// anywhere picks hosts at random.
func (c *cluster) anywhere() string { return c.names[c.entry.IntN(len(c.names))] }

// most returns the most requests in a window since a time, and how many the users allow.
func (c *cluster) most(limit gateway.OrganisationLimit, since time.Time) (int, float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counted []time.Time
	for _, at := range c.admitted {
		if !at.Before(since) {
			counted = append(counted, at)
		}
	}
	return testutil.MostWithin(counted, tolerance.Window), tolerance.Most(core.Limit{PerSecond: limit.PerSecond, Burst: limit.Burst})
}

// check checks the users' bound for the requests since a time.
func (c *cluster) check(limit gateway.OrganisationLimit, since time.Time) {
	if most, bound := c.most(limit, since); float64(most) > bound {
		c.t.Errorf("%d requests in a window, at most %.1f are allowed", most, bound)
	}
}

// peers implements port.QuotaPeers.
type peers struct {
	*cluster
	self string
}

func (p peers) Self() string { return p.self }

func (p peers) Hosts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	view, ok := p.views[p.self]
	if !ok {
		view = p.names
	}
	var others []string
	for _, name := range view {
		if name != p.self {
			others = append(others, name)
		}
	}
	return others
}

var errLost = errors.New("message was lost")

// call calls a host. Messages take 0.2 to 3 ms.
func (p peers) call(ctx context.Context, host string, f func(*Service)) error {
	p.mu.Lock()
	p.messages++
	delay := 200*time.Microsecond + time.Duration(p.random.Int64N(int64(1400*time.Microsecond)))
	drawn := p.random.Float64()
	isLost, isReplyLost := drawn < p.loss/2, drawn < p.loss
	isLost = isLost || p.side[host] != p.side[p.self]
	s := p.services[host]
	p.mu.Unlock()
	time.Sleep(delay)
	if !isLost && s != nil {
		f(s)
		time.Sleep(delay)
	}
	if isLost || isReplyLost || s == nil {
		<-ctx.Done()
		return errLost
	}
	return ctx.Err()
}

func (p peers) Tell(ctx context.Context, host string, r port.QuotaReports) (replies []core.Reply, err error) {
	err = p.call(ctx, host, func(s *Service) { replies = s.TellLocal(ctx, r) })
	return replies, err
}

func (p peers) Collect(ctx context.Context, host string, names []string) (c port.QuotaCollection, err error) {
	err = p.call(ctx, host, func(s *Service) { c = s.CollectLocal(p.self, names) })
	return c, err
}
