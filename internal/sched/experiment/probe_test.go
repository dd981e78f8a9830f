package experiment

import (
	"fmt"
	"time"
)

func init() {
	probe = func(b *bench, stop chan struct{}) {
		var n, busy, wasted, queued, kv int
		tick := time.NewTicker(100 * time.Millisecond)
		for {
			select {
			case <-stop:
				lim := 0
				for _, h := range b.hosts {
					for _, v := range h.Targets() {
						if v.Model != "" {
							lim += v.Limit
						}
					}
				}
				if n > 0 {
					fmt.Printf("probe fin running %.1f queued-in-engines %.1f wasted %.1f kv %.2f limits %d\n", float64(busy)/float64(n), float64(queued)/float64(n), float64(wasted)/float64(n), float64(kv)/float64(n)/1.5e6, lim)
				}
				return
			case <-tick.C:
			}
			if since := time.Since(b.begun); since < warmUp || since > window {
				continue
			}
			n++
			r, q := 0, 0
			for i := range engineCount {
				s := b.fleet.Engine(engineName(i)).Now()
				r += s.Running
				q += s.Queued
				kv += int(s.KVTokens)
			}
			busy += r
			queued += q
			wasted += min(q, engineCount*engineConcurrency-r)
		}
	}
}
