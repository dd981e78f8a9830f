package membership

import (
	"slices"
	"sort"
	"time"
)

// refresh derives the ring, the neighbours and the digest from the rows, if
// some row has changed.
func (c *Core) refresh(now time.Time) {
	if !c.stale {
		return
	}
	c.stale = false
	c.ring = c.ring[:0]
	c.digest = 0
	for _, r := range c.rows.circle {
		if r.dead {
			continue
		}
		c.ring = append(c.ring, r)
		c.digest ^= r.hash()
	}
	c.successors = c.around(c.self, 1)
	c.watch(unique(append(c.around(c.self, -1), c.successors...)), now)
}

// watch sets the members that this host watches.
func (c *Core) watch(rows []*row, now time.Time) {
	for _, r := range rows {
		if !slices.Contains(c.watched, r) {
			r.watched = now
		}
	}
	c.watched = rows
}

// around returns the neighbours of a member in one direction of the ring, at
// most as many as the settings say, without the member itself.
func (c *Core) around(of *row, step int) []*row {
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

// watchers returns the members that watch another, without this host.
func (c *Core) watchers(of *row) []*row {
	all := unique(append(c.around(of, -1), c.around(of, 1)...))
	return slices.DeleteFunc(all, func(r *row) bool { return r == c.self })
}

// unique drops rows that stand twice, as they do on a small ring.
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
