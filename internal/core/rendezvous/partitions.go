package rendezvous

import (
	"slices"
	"strconv"
	"sync"
)

// Partitions holds the order of the hosts for each partition. Hosts that know the
// same hosts order them alike. It is safe for concurrent use.
type PartitionCache struct {
	mu     sync.Mutex
	hosts  []string
	byPart map[int][]string
}

// Order returns a partition's order of the hosts.
func (p *PartitionCache) Order(part int, hosts []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(hosts, p.hosts) {
		p.hosts, p.byPart = hosts, make(map[int][]string)
	}
	order, ok := p.byPart[part]
	if !ok {
		order = Order(strconv.Itoa(part), hosts, func(host string) string { return host })
		p.byPart[part] = order
	}
	return order
}
