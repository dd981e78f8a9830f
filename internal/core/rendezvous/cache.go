package rendezvous

import (
	"slices"
	"strconv"
	"sync"
)

// maxCachedKeys limits the keys of a Cache. Keys may be names that change with each run
// of a process.
const maxCachedKeys = 4096

// Cache caches the rendezvous order of the hosts for each key. Every process that
// passes the same hosts gets the same order. It is safe for concurrent use. The zero
// value caches whole orders.
type Cache struct {
	// Limit is how many hosts of each order are kept; all with zero.
	Limit int

	mu    sync.Mutex
	hosts []string
	byKey map[string][]string
}

// Order returns the first hosts in rendezvous order for a key. The cache is reset when
// hosts differs from the previous call. The caller must not modify hosts or the returned
// slice.
func (c *Cache) Order(key string, hosts []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKey == nil || len(c.byKey) >= maxCachedKeys || !slices.Equal(hosts, c.hosts) {
		c.hosts, c.byKey = hosts, make(map[string][]string)
	}
	order, ok := c.byKey[key]
	if !ok {
		order = Order(key, hosts, func(host string) string { return host })
		if c.Limit > 0 && len(order) > c.Limit {
			order = slices.Clone(order[:c.Limit])
		}
		c.byKey[key] = order
	}
	return order
}

// PartitionCache caches the rendezvous order of the hosts for each partition.
type PartitionCache struct{ cache Cache }

// Order returns the hosts in rendezvous order for a partition, like Cache.Order.
func (p *PartitionCache) Order(partition int, hosts []string) []string {
	return p.cache.Order(strconv.Itoa(partition), hosts)
}
