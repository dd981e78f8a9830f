package dev

import (
	"flag"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"yuccausher/internal/app"
	"yuccausher/internal/fault"
	"yuccausher/internal/gate"
	"yuccausher/internal/settings"
)

// host is one host of a cluster.
type host struct {
	app  *app.App
	gate *gate.Gate
	// killed is guarded by the cluster's lock.
	killed bool
}

type hostOptions struct {
	listen     string
	peerListen string
	dataCentre string
	platform   string
	logger     logr.Logger
}

// newHost makes a host that listens but is not started.
func newHost(o hostOptions) (*host, error) {
	set, err := hostSettings(o)
	if err != nil {
		return nil, err
	}
	g := gate.New()
	a, err := app.New(app.Options{Settings: set, Logger: o.logger.WithValues("host", o.listen), Gate: g})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &host{app: a, gate: g}, nil
}

// hostSettings returns the settings that "serve" has with these flags.
func hostSettings(o hostOptions) (*settings.Serve, error) {
	flags := flag.NewFlagSet("host", flag.ContinueOnError)
	set := settings.NewServe(flags)
	err := flags.Parse([]string{
		"-listen", o.listen,
		"-peer-listen", o.peerListen,
		"-data-centre", o.dataCentre,
		"-platform-url", o.platform,
		"-drain-notice", "0s",
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return set, errors.Trace(set.Resolve(nil))
}

// Count implements standin.HostControl.
func (c *Cluster) Count() int { return len(c.hosts) }

// Kill implements standin.HostControl: the host's connections break, and what
// it does from then on reaches nobody.
func (c *Cluster) Kill(i int) error {
	if err := c.markKilled(i); err != nil {
		return err
	}
	h := c.hosts[i]
	h.gate.Close()
	go h.app.Kill()
	c.platform.Fleet.SetHosts(c.listed(), c.platform.Fleet.ListLag())
	return nil
}

func (c *Cluster) markKilled(i int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hosts[i].killed {
		return fault.New(fault.Conflict, fault.NotRun, "host %d is killed already", i)
	}
	c.hosts[i].killed = true
	return nil
}

func (c *Cluster) isKilled(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[i].killed
}

// Pause implements standin.HostControl: all that the host sends or is sent is
// held up for d.
func (c *Cluster) Pause(i int, d time.Duration) error {
	if c.isKilled(i) {
		return fault.New(fault.Conflict, fault.NotRun, "host %d is killed already", i)
	}
	c.hosts[i].gate.Pause(d)
	return nil
}
