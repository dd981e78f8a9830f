package rendezvous

import (
	"slices"
	"strconv"
	"sync"
)

// PartitionCache caches the rendezvous order of the hosts for each partition.
// Every process that passes the same hosts gets the same order. It is safe for
// concurrent use.
type PartitionCache struct {
	mu          sync.Mutex
	hosts       []string
	byPartition map[int][]string
}

// Order returns the hosts in rendezvous order for a partition. The cache is
// reset when hosts differs from the previous call. The caller must not modify
// hosts or the returned slice.
func (p *PartitionCache) Order(partition int, hosts []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(hosts, p.hosts) {
		p.hosts, p.byPartition = hosts, make(map[int][]string)
	}
	order, ok := p.byPartition[partition]
	if !ok {
		order = Order(strconv.Itoa(partition), hosts, func(host string) string { return host })
		p.byPartition[partition] = order
	}
	return order
}
