package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"yuccausher/internal/core/membership"
	"yuccausher/internal/port"
)

const (
	// exchangeTimeout is how long a host waits for an answer.
	exchangeTimeout = time.Second
	// wireOverhead is the size of TCP, IP and framing with one acknowledgement
	// of its own per message, in bytes.
	wireOverhead = 124
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// network carries the messages of many cores in virtual time.
type network struct {
	now    time.Time
	seq    int
	queue  events
	random *rand.Rand
	loss   float64
	// cut says whether messages from one host to another are dropped.
	cut   func(from, to *node) bool
	nodes map[string]*node
	order []*node
	bytes int
	sent  int
}

// node is one host on the network.
type node struct {
	net         *network
	id          string
	dataCentre  string
	core        *membership.Core
	incarnation uint64
	dead        bool
	pausedUntil time.Time
	tickAt      time.Time
	table       []port.Member
	bytes       int
	messages    int
}

func newNetwork(n int, seed uint64) *network {
	net := &network{now: epoch, random: rand.New(rand.NewPCG(seed, seed)), nodes: make(map[string]*node)}
	for i := range n {
		id := fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250)
		nd := &node{net: net, id: id, dataCentre: fmt.Sprintf("dc-%d", i%6)}
		net.nodes[id] = nd
		net.order = append(net.order, nd)
	}
	for _, nd := range net.order {
		nd.start()
	}
	return net
}

func (n *network) at(t time.Time, run func()) {
	n.seq++
	heap.Push(&n.queue, event{at: t, seq: n.seq, run: run})
}

// run advances the time and handles what happens.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

// start begins a new incarnation that knows the host list alone.
func (nd *node) start() {
	nd.incarnation++
	nd.dead, nd.table = false, nil
	host := port.Host{ID: nd.id, DataCentre: nd.dataCentre, Incarnation: uint64(epoch.UnixNano()) + nd.incarnation, ClientAddress: nd.id}
	nd.core = membership.New(host, membership.Defaults(), nd.net.random.Uint64(), nd.net.now)
	nd.hint()
	nd.tickAt = time.Time{}
	nd.schedule()
}

// hint reads the host list.
func (nd *node) hint() {
	var list []port.ListedHost
	for _, other := range nd.net.order {
		if other != nd {
			list = append(list, port.ListedHost{ID: other.id, DataCentre: other.dataCentre})
		}
	}
	nd.core.SetHostList(list)
}

// schedule arranges the next tick.
func (nd *node) schedule() {
	due := nd.core.Due()
	if due.Before(nd.net.now) {
		due = nd.net.now
	}
	if nd.tickAt.After(nd.net.now) && !due.Before(nd.tickAt) {
		return
	}
	core := nd.core
	nd.tickAt = due
	nd.net.at(due, func() { nd.tick(core, due) })
}

func (nd *node) tick(core *membership.Core, due time.Time) {
	if nd.dead || core != nd.core || !due.Equal(nd.tickAt) {
		return
	}
	if nd.net.now.Before(nd.pausedUntil) {
		nd.net.at(nd.pausedUntil, func() { nd.tick(core, due) })
		return
	}
	for _, m := range core.Tick(nd.net.now) {
		nd.dispatch(m)
	}
	nd.after()
	nd.tickAt = time.Time{}
	nd.schedule()
}

// after takes over the table if it has changed.
func (nd *node) after() {
	if table, changed := nd.core.Table(); changed {
		nd.table = table
	}
}

func (nd *node) dispatch(m membership.Message) {
	to := nd.net.nodes[m.To]
	if m.ProbeHost == "" {
		nd.exchange(to, m.Gossip, func(time.Time) {})
		return
	}
	core, about := nd.core, nd.net.nodes[m.ProbeHost]
	nd.net.deliver(nd, to, wireOverhead, func() {
		to.exchange(about, to.core.Request(nd.net.now), func(time.Time) {
			nd.net.deliver(to, nd, wireOverhead, func() {
				if core == nd.core {
					core.HandleIndirectAck(nd.net.now, about.id)
				}
			})
		})
	})
}

// exchange sends a request and hands the answer to the core.
func (nd *node) exchange(to *node, g port.Gossip, answered func(time.Time)) {
	core, sent := nd.core, nd.net.now
	nd.net.deliver(nd, to, size(g), func() {
		reply := to.core.Handle(nd.net.now, g)
		to.after()
		to.schedule()
		nd.net.deliver(to, nd, size(reply), func() {
			if core != nd.core || nd.net.now.Sub(sent) > exchangeTimeout {
				return
			}
			core.HandleReply(nd.net.now, reply)
			nd.after()
			nd.schedule()
			answered(nd.net.now)
		})
	})
}

// deliver runs handle at the receiver, unless the message is lost.
func (n *network) deliver(from, to *node, bytes int, handle func()) {
	n.bytes += bytes
	n.sent++
	from.bytes += bytes
	from.messages++
	if n.random.Float64() < n.loss || n.cut != nil && n.cut(from, to) {
		return
	}
	latency := 500*time.Microsecond + time.Duration(n.random.Int64N(int64(2*time.Millisecond)))
	n.at(n.now.Add(latency), func() { n.arrive(to, handle) })
}

func (n *network) arrive(to *node, handle func()) {
	if to.dead {
		return
	}
	if n.now.Before(to.pausedUntil) {
		n.at(to.pausedUntil, func() { n.arrive(to, handle) })
		return
	}
	handle()
}

func (nd *node) pause(d time.Duration) { nd.pausedUntil = nd.net.now.Add(d) }

// sees returns what a node takes another for; "" is unknown.
func (nd *node) sees(id string) port.MemberState {
	i, ok := slices.BinarySearchFunc(nd.table, id, func(m port.Member, id string) int { return strings.Compare(m.ID, id) })
	if !ok {
		return ""
	}
	return nd.table[i].State
}

// believers returns how many live nodes do not know that a host is gone.
func (n *network) believers(id string) int {
	count := 0
	for _, nd := range n.order {
		if state := nd.sees(id); !nd.dead && state != "" && state != port.MemberDead {
			count++
		}
	}
	return count
}

// live returns the nodes that run.
func (n *network) live() []*node {
	var live []*node
	for _, nd := range n.order {
		if !nd.dead {
			live = append(live, nd)
		}
	}
	return live
}

// agree says whether every live node sees exactly the live nodes as alive.
func (n *network) agree() bool {
	live := n.live()
	for _, nd := range live {
		alive := 0
		for i := range nd.table {
			m := &nd.table[i]
			if m.State == port.MemberDead {
				continue
			}
			if n.nodes[m.ID].dead || m.State != port.MemberAlive {
				return false
			}
			alive++
		}
		if alive != len(live) {
			return false
		}
	}
	return true
}

// until runs until a condition is met, at most for a time.
func (n *network) until(most time.Duration, met func() bool) {
	for begin := n.now; !met() && n.now.Sub(begin) < most; {
		n.run(10 * time.Millisecond)
	}
}

// settle runs until all agree, at most for a time, and returns how long.
func (n *network) settle(most time.Duration) (time.Duration, bool) {
	begin := n.now
	for n.now.Sub(begin) < most {
		n.run(200 * time.Millisecond)
		if n.agree() {
			return n.now.Sub(begin), true
		}
	}
	return most, false
}

func (n *network) deaths() int64 {
	var deaths int64
	for _, nd := range n.order {
		deaths += nd.core.Stats().Deaths
	}
	return deaths
}

// size estimates the bytes of a message on the wire.
func size(g port.Gossip) int {
	bytes := wireOverhead + hostSize(g.From) + 20
	for i := range g.Rumours {
		bytes += hostSize(g.Rumours[i].Host) + 24
	}
	return bytes
}

func hostSize(h port.Host) int {
	return len(h.ID) + len(h.DataCentre) + len(h.ClientAddress) + 18
}
