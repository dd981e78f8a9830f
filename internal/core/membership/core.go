// Package membership decides which hosts are alive. Each host exchanges
// heartbeats with its neighbours on a ring and with one random member; changes
// ride on the heartbeats as rumours. A silent host is suspected, probed by its
// watchers directly and through others, and dead only when all the evidence
// that the watchers share is old. The package does no I/O and is not safe for
// concurrent use.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccausher/internal/port"
)

// forgetInterval is the time between looks for hosts to forget.
const forgetInterval = 5 * time.Second

// Message is one exchange that the host should make.
type Message struct {
	To string
	// About is set if To should be asked to reach another host; the gossip is
	// not sent then.
	ProbeHost string
	Gossip    port.Gossip
}

// Core is the protocol state of one host.
type Core struct {
	settings Settings
	random   *rand.Rand
	self     *row
	rows     rowSet
	// listed holds hosts that only the host list names.
	listed map[string]struct{}

	ring       []*row
	successors []*row
	watched    []*row
	digest     uint64

	rumours []*rumour
	out     []Message

	started    time.Time
	due        time.Time
	nextBeat   time.Time
	nextProbe  time.Time
	nextFlush  time.Time
	nextRejoin time.Time
	nextForget time.Time
	sync       tokens
	cursor     int

	// changed says that the table differs from what Table last returned, stale
	// that the ring differs from the rows.
	changed bool
	stale   bool
	stats   Stats
}

// Stats counts what the protocol did.
type Stats struct {
	// Deaths counts the hosts that this host declared dead by itself.
	Deaths int64
	// Refutations counts the wrong beliefs that this host undid.
	Refutations int64
	// Suspicions counts the silent neighbours that were probed.
	Suspicions int64
	// Stalls counts the pauses of this host.
	Stalls int64
	// StaleContacts counts messages of an older incarnation.
	StaleContacts int64
}

// New returns the core of a host that knows nobody yet. The seed makes its
// choices repeatable.
func New(self port.Host, settings Settings, seed uint64, now time.Time) *Core {
	c := &Core{
		settings: settings,
		random:   rand.New(rand.NewPCG(seed, xxhash.Sum64String(self.ID))),
		self:     newRow(self, now),
		rows:     rowSet{byID: make(map[string]*row)},
		listed:   make(map[string]struct{}),
		started:  now,
		due:      now,
		sync:     tokens{rate: settings.SyncRate, most: settings.SyncBurst, left: float64(settings.SyncBurst), last: now},
	}
	c.nextBeat = now.Add(time.Duration(c.random.Int64N(int64(settings.Interval))))
	c.nextRejoin = now
	c.rows.put(c.self)
	c.update()
	c.refresh(now)
	return c
}

// Tick does what is due and returns the exchanges to make. It should be called
// at Due.
func (c *Core) Tick(now time.Time) []Message {
	c.forgiveStall(now)
	c.refresh(now)
	c.heartbeat(now)
	c.rejoin(now)
	c.detect(now)
	c.refresh(now)
	c.flush(now)
	c.forget(now)
	c.due = c.nextDue(now)
	out := c.out
	c.out = nil
	return out
}

// Due returns when Tick should be called next.
func (c *Core) Due() time.Time {
	if !c.nextFlush.IsZero() && c.nextFlush.Before(c.due) {
		return c.nextFlush
	}
	return c.due
}

func (c *Core) nextDue(now time.Time) time.Time {
	due := now.Add(c.settings.ScanInterval)
	if c.nextBeat.Before(due) {
		due = c.nextBeat
	}
	return due
}

// forgiveStall counts no silence of others while this host itself was paused.
func (c *Core) forgiveStall(now time.Time) {
	stall := now.Sub(c.due)
	if stall < c.settings.MinStall {
		return
	}
	c.stats.Stalls++
	for _, r := range c.watched {
		r.watched = now
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// heartbeat contacts the neighbours and one random member.
func (c *Core) heartbeat(now time.Time) {
	if now.Before(c.nextBeat) {
		return
	}
	c.nextBeat = later(c.nextBeat.Add(c.settings.Interval), now)
	for _, r := range c.successors {
		c.send(r, now)
	}
	c.send(c.randomMember(), now)
}

// rejoin tries to reach a host that is taken for dead or only listed; while
// this host is alone, it tries several.
func (c *Core) rejoin(now time.Time) {
	if now.Before(c.nextRejoin) {
		return
	}
	if len(c.listed) == 0 && len(c.ring) == len(c.rows.ordered) {
		return
	}
	tries := 1
	c.nextRejoin = now.Add(c.settings.RejoinInterval)
	if len(c.ring) == 1 {
		tries = c.settings.Fanout
		c.nextRejoin = now.Add(c.settings.Interval)
	}
	lost := c.lost()
	c.random.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, id := range lost[:min(tries, len(lost))] {
		c.out = append(c.out, Message{To: id, Gossip: c.request(now)})
	}
}

// lost returns the hosts that are dead or only listed, in a fixed order.
func (c *Core) lost() []string {
	var ids []string
	for _, r := range c.rows.ordered {
		if r.dead {
			ids = append(ids, r.host.ID)
		}
	}
	for id := range c.listed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Hint tells the hosts of the platform's list. They are only tried.
func (c *Core) SetHostList(listed []port.ListedHost) {
	clear(c.listed)
	for _, h := range listed {
		if _, known := c.rows.byID[h.ID]; !known {
			c.listed[h.ID] = struct{}{}
		}
	}
}

// Leave announces that this host is leaving.
func (c *Core) Leave(now time.Time) {
	if c.self.leaving {
		return
	}
	c.self.leaving = true
	c.self.since = now
	c.update()
	c.refresh(now)
	c.spread(c.self.host.ID, true, now)
}

// Announce returns exchanges that tell this host's state to its neighbours and
// some others at once.
func (c *Core) Announce(now time.Time) []Message {
	for _, r := range c.watched {
		c.send(r, now)
	}
	for range c.settings.Fanout {
		c.send(c.randomMember(), now)
	}
	out := c.out
	c.out = nil
	return out
}

// SetConfigVersion sets the version that this host says it runs.
func (c *Core) SetConfigVersion(version int64) {
	if version != c.self.version {
		c.self.version = version
		c.changed = true
	}
}

// Self returns this host.
func (c *Core) Self() port.Host { return c.self.host }

// Stats returns the counts so far.
func (c *Core) Stats() Stats { return c.stats }

// Table returns all known members sorted by ID; changed says whether it
// differs from the last call's.
func (c *Core) Table() (table []port.Member, changed bool) {
	changed, c.changed = c.changed, false
	if !changed {
		return nil, false
	}
	table = make([]port.Member, 0, len(c.rows.ordered))
	for _, r := range c.rows.ordered {
		table = append(table, r.member())
	}
	return table, true
}

// update notes that a row's state has changed.
func (c *Core) update() {
	c.changed = true
	c.stale = true
}

// forget drops hosts that have long been dead.
func (c *Core) forget(now time.Time) {
	if len(c.ring) == len(c.rows.ordered) || now.Before(c.nextForget) {
		return
	}
	c.nextForget = now.Add(forgetInterval)
	isForgotten := func(r *row) bool { return r.dead && now.Sub(r.since) >= c.settings.ForgetAfter }
	c.changed = c.rows.drop(isForgotten) || c.changed
}
