// Package membership decides which hosts are alive. Each host exchanges
// heartbeats with its neighbours on a ring and with one random member. Changes
// are disseminated as gossip updates on these heartbeats. A silent host is
// suspected and probed by its watchers, directly and through other members. It is
// declared dead only if its last contact with any host, as far as the watchers know
// from each other, is too long ago. The package does no I/O and is not safe for
// concurrent use.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccausher/internal/port"
)

// removalInterval is the time between checks for dead hosts to remove.
const removalInterval = 5 * time.Second

// Message is one exchange that the caller must make.
type Message struct {
	// To is the ID of the host to contact.
	To string
	// ProbeHost is the ID of another host that To is asked to probe, or "". If it
	// is set, Gossip is empty and is not sent.
	ProbeHost string
	Gossip    port.Gossip
}

// Core is the protocol state of one host.
type Core struct {
	settings Settings
	random   *rand.Rand
	self     *row
	rows     rowSet
	// listed holds the IDs of hosts that are known only from the host list.
	listed map[string]struct{}

	// ring holds the rows that are not dead, by ring position. successors and
	// watched are this host's neighbours on one side and on both. digest combines
	// the hashes of the ring's rows.
	ring       []*row
	successors []*row
	watched    []*row
	digest     uint64

	updates []*update
	outbox  []Message

	started       time.Time
	due           time.Time
	nextHeartbeat time.Time
	nextProbe     time.Time
	nextFlush     time.Time
	nextRejoin    time.Time
	nextRemoval   time.Time
	syncLimit     rateLimit
	// cursor is the ring index of the row that addRows sent last.
	cursor int

	// changed is set if the table differs from what Table last returned, ringStale
	// if the ring is out of date with the rows.
	changed   bool
	ringStale bool
	stats     Stats
}

// Stats holds the protocol's counters.
type Stats struct {
	// Deaths counts the hosts that this host declared dead itself.
	Deaths int64
	// Refutations counts the false reports of a death that this host refuted.
	Refutations int64
	// Suspicions counts the watched neighbours that became suspect.
	Suspicions int64
	// Stalls counts the pauses of this host.
	Stalls int64
	// StaleContacts counts messages from an older incarnation of a host.
	StaleContacts int64
}

// New returns the core of a host that knows no other hosts. The seed makes its
// random choices repeatable. It is combined with the host's ID, so that hosts with
// the same seed make different choices.
func New(self port.Host, settings Settings, seed uint64, now time.Time) *Core {
	c := &Core{
		settings:  settings,
		random:    rand.New(rand.NewPCG(seed, xxhash.Sum64String(self.ID))),
		self:      newRow(self, now),
		rows:      rowSet{byID: make(map[string]*row)},
		listed:    make(map[string]struct{}),
		started:   now,
		due:       now,
		syncLimit: rateLimit{rate: settings.SyncRate, burst: settings.SyncBurst, available: float64(settings.SyncBurst), refilledAt: now},
	}
	c.nextHeartbeat = now.Add(time.Duration(c.random.Int64N(int64(settings.Interval))))
	c.nextRejoin = now
	c.rows.put(c.self)
	c.markChanged()
	c.rebuildRing(now)
	return c
}

// Tick performs the work that is due and returns the exchanges to make. It should
// be called at Due.
func (c *Core) Tick(now time.Time) []Message {
	c.handleStall(now)
	c.rebuildRing(now)
	c.heartbeat(now)
	c.rejoin(now)
	c.detect(now)
	c.rebuildRing(now)
	c.flush(now)
	c.removeExpired(now)
	c.due = c.nextDue(now)
	out := c.outbox
	c.outbox = nil
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
	if c.nextHeartbeat.Before(due) {
		due = c.nextHeartbeat
	}
	return due
}

// handleStall detects that this host itself was paused and restarts the
// observation of the watched members, so that their silence during the pause does
// not count.
func (c *Core) handleStall(now time.Time) {
	stall := now.Sub(c.due)
	if stall < c.settings.MinStall {
		return
	}
	c.stats.Stalls++
	for _, r := range c.watched {
		r.watchedSince = now
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

// heartbeat contacts the successors and one random member.
func (c *Core) heartbeat(now time.Time) {
	if now.Before(c.nextHeartbeat) {
		return
	}
	c.nextHeartbeat = later(c.nextHeartbeat.Add(c.settings.Interval), now)
	for _, r := range c.successors {
		c.send(r, now)
	}
	c.send(c.randomMember(), now)
}

// rejoin tries to reach a host that is considered dead or known only from the host
// list. While this host sees no live member, it tries several at once.
func (c *Core) rejoin(now time.Time) {
	if now.Before(c.nextRejoin) {
		return
	}
	if len(c.listed) == 0 && len(c.ring) == len(c.rows.sorted) {
		return
	}
	attempts := 1
	c.nextRejoin = now.Add(c.settings.RejoinInterval)
	if len(c.ring) == 1 {
		attempts = c.settings.Fanout
		c.nextRejoin = now.Add(c.settings.Interval)
	}
	candidates := c.unreachable()
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, id := range candidates[:min(attempts, len(candidates))] {
		c.outbox = append(c.outbox, Message{To: id, Gossip: c.request(now)})
	}
}

// unreachable returns the IDs of the hosts that are dead or only listed, sorted.
func (c *Core) unreachable() []string {
	var ids []string
	for _, r := range c.rows.sorted {
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

// SetHostList sets the hosts of the platform's host list. Hosts that are not known
// yet are contacted, but become members only when they answer.
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
	c.markChanged()
	c.rebuildRing(now)
	c.queueUpdate(c.self.host.ID, true, now)
}

// Announce returns exchanges that notify the watched neighbours and some random
// members of this host's state immediately.
func (c *Core) Announce(now time.Time) []Message {
	for _, r := range c.watched {
		c.send(r, now)
	}
	for range c.settings.Fanout {
		c.send(c.randomMember(), now)
	}
	out := c.outbox
	c.outbox = nil
	return out
}

// SetConfigVersion sets the configuration version that this host reports.
func (c *Core) SetConfigVersion(version int64) {
	if version != c.self.configVersion {
		c.self.configVersion = version
		c.changed = true
	}
}

// Self returns this host.
func (c *Core) Self() port.Host { return c.self.host }

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// Table returns all known members sorted by ID if the table has changed since the
// last call. Otherwise it returns nil and false.
func (c *Core) Table() (table []port.Member, changed bool) {
	changed, c.changed = c.changed, false
	if !changed {
		return nil, false
	}
	table = make([]port.Member, 0, len(c.rows.sorted))
	for _, r := range c.rows.sorted {
		table = append(table, r.member())
	}
	return table, true
}

// markChanged notes that a row has changed in a way that affects the ring.
func (c *Core) markChanged() {
	c.changed = true
	c.ringStale = true
}

// removeExpired removes hosts that have been dead for at least ForgetAfter.
func (c *Core) removeExpired(now time.Time) {
	if len(c.ring) == len(c.rows.sorted) || now.Before(c.nextRemoval) {
		return
	}
	c.nextRemoval = now.Add(removalInterval)
	isExpired := func(r *row) bool { return r.dead && now.Sub(r.since) >= c.settings.ForgetAfter }
	c.changed = c.rows.drop(isExpired) || c.changed
}
