package configuration_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"yuccausher/internal/core/config"
)

const (
	// convergeLimit is the maximum time until a version is in effect at all hosts.
	convergeLimit = 17 * time.Second
	// sampleInterval is the time between checks of all hosts.
	sampleInterval = 250 * time.Millisecond
)

// step is one random action on a fleet.
type step struct {
	kind   string
	host   int
	others int
	wait   time.Duration
}

func drawSteps(t *rapid.T, hosts int) []step {
	kinds := []string{"publish", "publish", "publish", "log_down", "lost_ack", "cut", "mend", "restart", "garbage"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			host:   rapid.IntRange(0, hosts-1).Draw(t, "host"),
			others: rapid.IntRange(0, hosts-1).Draw(t, "others"),
			wait:   time.Duration(rapid.IntRange(0, 20000).Draw(t, "wait")) * time.Millisecond,
		}
	}), 1, 25).Draw(t, "steps")
}

// observer checks that no host's version decreases and records the newest one.
type observer struct {
	fleet   *fleet
	holders map[*config.Holder]int64
	newest  int64
	// quiet is the time when the last publication, outage or restart ended.
	quiet   time.Time
	failure string
}

func (o *observer) sample() {
	for _, h := range o.fleet.hosts {
		holder := h.holder.Load()
		version := h.version()
		if version < o.holders[holder] {
			o.failure = "a version decreased"
		}
		o.holders[holder] = version
		if version < o.newest && time.Since(o.quiet) > convergeLimit {
			o.failure = "a host has an older version after the limit"
		}
	}
}

func (o *observer) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(sampleInterval, time.Until(end)))
		o.sample()
	}
}

func (o *observer) do(s step) {
	f, h := o.fleet, o.fleet.hosts[s.host]
	switch s.kind {
	case "publish":
		o.publish(s)
	case "log_down":
		f.log.Down(s.wait / 2)
		o.quiet = time.Now().Add(s.wait / 2)
	case "lost_ack":
		f.log.LostAck(s.others)
	case "cut", "mend":
		h.cutOff.Store(s.kind == "cut")
	case "restart":
		h.stop()
		h.start()
		o.quiet = time.Now()
	case "garbage":
		_, _ = f.log.Append(context.Background(), config.Stream, [][]byte{[]byte("garbage")})
	}
	o.watch(s.wait)
}

// publish makes one or more hosts publish concurrently.
func (o *observer) publish(s step) {
	f := o.fleet
	hosts := f.hosts[min(s.host, s.others) : max(s.host, s.others)+1]
	base := hosts[0].version()
	versions, errs := f.publish(base, hosts...)
	winners := 0
	for i, err := range errs {
		if err != nil {
			continue
		}
		winners++
		o.newest = max(o.newest, versions[i])
		o.quiet = later(o.quiet, time.Now())
		if versions[i] <= base {
			o.failure = "a new version is not greater than its base"
		}
	}
	if winners > 1 {
		o.failure = "concurrent publications have two winners"
	}
	o.sample()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func TestVersionsConvergeAndNeverDecrease(t *testing.T) {
	const hosts = 4
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt, hosts)
		failure := ""
		run(t, hosts, func(t *testing.T, f *fleet) {
			o := &observer{fleet: f, holders: make(map[*config.Holder]int64), quiet: time.Now()}
			for _, s := range steps {
				o.do(s)
			}
			o.watch(2 * convergeLimit)
			failure = o.failure
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// TestConvergesThroughPeersOnly makes the log unavailable directly after a
// publication, before the other hosts have read it. They must get the version from
// peers.
func TestConvergesThroughPeersOnly(t *testing.T) {
	run(t, 6, func(t *testing.T, f *fleet) {
		is := is.New(t)
		_, errs := f.publish(0, f.hosts[0])
		is.NoErr(errs[0])
		time.Sleep(settleTime)
		for _, h := range f.hosts[1:] {
			h.cutOff.Store(true)
		}
		time.Sleep(10 * time.Second) // all reads that wait in the log end
		versions, errs := f.publish(1, f.hosts[0])
		is.NoErr(errs[0])
		f.log.Down(time.Hour)
		is.Equal(f.hosts[1].version(), int64(1))
		time.Sleep(convergeLimit)
		is.True(f.all(versions[0]))
	})
}
