package retention

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDecide(t *testing.T) {
	full := Cache{Tokens: 10_000, UsedTokens: 100_000, CapacityTokens: 100_000, PrefillRate: 5000, LatencyWeight: 1}
	// The memory turns over in 20 s, which is the pause at which both costs are equal.
	cases := []struct {
		name   string
		change func(*Cache)
		want   Action
	}{
		{"short pause", func(c *Cache) { c.Pause = 19 * time.Second }, Keep},
		{"long pause", func(c *Cache) { c.Pause = 21 * time.Second }, Evict},
		{"long pause, memory free", func(c *Cache) { c.Pause = time.Hour; c.UsedTokens = 70_000 }, Keep},
		{"long pause, cache weighs", func(c *Cache) { c.Pause = 21 * time.Second; c.CacheWeight = 1 }, Keep},
		{"longer pause, cache weighs", func(c *Cache) { c.Pause = 41 * time.Second; c.CacheWeight = 1 }, Evict},
		{"export is cheaper", func(c *Cache) { c.Pause = 21 * time.Second; c.ExportRate = 50_000 }, Export},
		{"export is slow", func(c *Cache) { c.Pause = 21 * time.Second; c.ExportRate = 1000 }, Evict},
		{"nothing held", func(c *Cache) { c.Pause = time.Hour; c.Tokens = 0 }, Keep},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cache := full
			c.change(&cache)
			is.New(t).Equal(Decide(cache), c.want)
		})
	}
}
