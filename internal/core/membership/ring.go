package membership

import (
	"slices"
	"sort"
	"time"
)

// rebuildRing derives the ring, the neighbours and the digest from the rows if the
// ring is stale.
func (c *Core) rebuildRing(now time.Time) {
	if !c.ringStale {
		return
	}
	c.ringStale = false
	c.ring = c.ring[:0]
	c.digest = 0
	for _, r := range c.rows.byRing {
		if r.dead {
			continue
		}
		c.ring = append(c.ring, r)
		c.digest ^= r.hash()
	}
	c.successors = c.neighbours(c.self, 1)
	c.setWatched(unique(append(c.neighbours(c.self, -1), c.successors...)), now)
}

// setWatched sets the members that this host watches.
func (c *Core) setWatched(rows []*row, now time.Time) {
	for _, r := range rows {
		if !slices.Contains(c.watched, r) {
			r.watchedSince = now
		}
	}
	c.watched = rows
}

// neighbours returns up to Settings.Neighbours neighbours of a member on one side
// of the ring: successors for step 1, predecessors for step -1.
func (c *Core) neighbours(of *row, step int) []*row {
	n := len(c.ring)
	at := sort.Search(n, func(i int) bool { return c.ring[i].position >= of.position })
	found := make([]*row, 0, c.settings.Neighbours)
	for i := 1; i < n && len(found) < c.settings.Neighbours; i++ {
		neighbour := c.ring[((at+i*step)%n+n)%n]
		if neighbour != of {
			found = append(found, neighbour)
		}
	}
	return found
}

// watchers returns the members that watch a member, without this host.
func (c *Core) watchers(of *row) []*row {
	all := unique(append(c.neighbours(of, -1), c.neighbours(of, 1)...))
	return slices.DeleteFunc(all, func(r *row) bool { return r == c.self })
}

// unique removes duplicate rows, which occur on a small ring.
func unique(rows []*row) []*row {
	kept := rows[:0]
	for _, r := range rows {
		if !slices.Contains(kept, r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// randomMember returns a live member other than this host, or nil.
func (c *Core) randomMember() *row {
	if len(c.ring) < 2 {
		return nil
	}
	r := c.ring[c.random.IntN(len(c.ring))]
	if r == c.self {
		r = c.ring[c.random.IntN(len(c.ring))]
	}
	if r == c.self {
		return nil
	}
	return r
}
