// Package crashrpc carries crashes of targets between hosts over drpc.
package crashrpc

import (
	"context"

	"github.com/juju/errors"
	"storj.io/drpc"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/gen/quarantine"
)

// Dialer connects to other hosts.
type Dialer interface {
	Hosts() []string
	Connect(ctx context.Context, host string) (drpc.Conn, error)
}

// Client tells other hosts.
type Client struct {
	Dialer
	// Host is this host's name.
	Host string
}

// Tell tells a host of crashes. A relay is asked to write them to the shared log.
func (c Client) Notify(ctx context.Context, host string, marks []poison.Mark, isRelay bool) error {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return err
	}
	defer conn.Close()
	request := &quarantine.TellRequest{Append: isRelay, Crashes: make([]*quarantine.Crash, len(marks))}
	for i, m := range marks {
		request.Crashes[i] = poison.ToWire(m, c.Host)
	}
	_, err = quarantine.NewDRPCCrashesClient(conn).Tell(ctx, request)
	return errors.Annotatef(err, "tell host %s of crashes", host)
}

// Receiver takes crashes that other hosts tell of.
type Receiver interface {
	// Learn takes crashes, Relay also those that are to be written to the shared log.
	Receive(host string, marks []poison.Mark)
	Relay(host string, marks []poison.Mark)
}

// Register makes a drpc server take crashes.
func Register(mux drpc.Mux, r Receiver) error {
	return errors.Trace(quarantine.DRPCRegisterCrashes(mux, &handler{receiver: r}))
}

type handler struct{ receiver Receiver }

// Tell implements quarantine.DRPCCrashesServer.
func (h *handler) Tell(_ context.Context, r *quarantine.TellRequest) (*quarantine.TellReply, error) {
	for _, c := range r.GetCrashes() {
		marks := []poison.Mark{poison.FromWire(c)}
		if r.GetAppend() {
			h.receiver.Relay(c.GetHost(), marks)
			continue
		}
		h.receiver.Receive(c.GetHost(), marks)
	}
	return &quarantine.TellReply{}, nil
}
