// Package dev runs several hosts and the stand-ins of the platform in one
// process.
package dev

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"yuccausher/internal/caller"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

// The ports of a cluster, counted from its base port.
const (
	controlOffset = 100
	peerOffset    = 200
	// MaxHosts is the most hosts of a cluster.
	MaxHosts = controlOffset
	// Ports is how many ports a cluster may take from its base port on.
	Ports = peerOffset + MaxHosts
)

const readyPause = 20 * time.Millisecond

// dataCentres are given to the hosts in turn.
var dataCentres = []string{"concord", "salem", "hartford"}

// Options set up a cluster.
type Options struct {
	Hosts int
	// BasePort is the first host's; zero means any free ports.
	BasePort int
	Logger   logr.Logger
}

// Cluster is a running set of hosts with their platform. It implements
// standin.HostControl.
type Cluster struct {
	platform  standin.Platform
	listening *standin.Listening

	mu    sync.Mutex
	hosts []*host
}

// Start starts a cluster. Its hosts may not be ready yet.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{platform: standin.NewPlatform(nil)}
	c.platform.Hosts = c
	listening, err := standin.Listen(ctx, c.platform, address(o.BasePort, controlOffset), o.Logger)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.listening = listening
	if err := c.startHosts(ctx, o); err != nil {
		c.kill()
		return nil, errors.Trace(err)
	}
	return c, nil
}

// startHosts makes all hosts before it starts the first, so that the list of
// hosts is whole when they read it.
func (c *Cluster) startHosts(ctx context.Context, o Options) error {
	for i := range o.Hosts {
		h, err := newHost(hostOptions{
			listen:     address(o.BasePort, i),
			peerListen: address(o.BasePort, peerOffset+i),
			dataCentre: dataCentres[i%len(dataCentres)],
			platform:   c.listening.Base,
			logger:     o.Logger,
		})
		if err != nil {
			return err
		}
		c.hosts = append(c.hosts, h)
	}
	c.platform.Fleet.SetHosts(c.listed(), 0)
	for _, h := range c.hosts {
		if err := h.app.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// address returns the loopback address with a port, or with any free port if
// base is zero.
func address(base, offset int) string {
	if base == 0 {
		return "127.0.0.1:0"
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(base+offset))
}

// listed returns the hosts that live, as the platform lists them.
func (c *Cluster) listed() []port.ListedHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []port.ListedHost
	for _, h := range c.hosts {
		if h.killed {
			continue
		}
		self := h.app.Self()
		list = append(list, port.ListedHost{ID: self.ID, DataCentre: self.DataCentre})
	}
	return list
}

// Control is the URL of the stand-ins' control.
func (c *Cluster) Control() string { return c.listening.Base }

// Bases returns the URLs of the hosts.
func (c *Cluster) Bases() []string {
	var bases []string
	for _, h := range c.hosts {
		bases = append(bases, "http://"+h.app.Self().ClientAddress)
	}
	return bases
}

// Self returns the identity of a host.
func (c *Cluster) Self(host int) port.Host { return c.hosts[host].app.Self() }

// Platform returns the stand-ins.
func (c *Cluster) Platform() standin.Platform { return c.platform }

// WaitReady waits until each host says that it is ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, base := range c.Bases() {
		if err := waitReady(ctx, base); err != nil {
			return errors.Annotatef(err, "host %s is not ready", base)
		}
	}
	return nil
}

func waitReady(ctx context.Context, base string) error {
	client := caller.New(base)
	defer client.Close()
	for {
		err := client.Get(ctx, "/readyz", nil)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(readyPause):
		case <-ctx.Done():
			return err
		}
	}
}

// Stop makes a planned stop of each host and then ends the stand-ins.
func (c *Cluster) Stop(ctx context.Context) error {
	var stops sync.WaitGroup
	results := make([]error, len(c.hosts))
	for i, h := range c.hosts {
		if !c.isKilled(i) {
			stops.Go(func() { results[i] = h.app.Stop(ctx) })
		}
	}
	stops.Wait()
	c.listening.Close()
	for _, err := range results {
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// kill ends all at once.
func (c *Cluster) kill() {
	for _, h := range c.hosts {
		h.gate.Close()
		h.app.Kill()
	}
	c.listening.Close()
}
