// Package crashrpc transfers crash marks of targets, and questions whether targets have crashed,
// between hosts over drpc.
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

// Client sends marks to other hosts.
type Client struct {
	Dialer
	// Host is the name of this host.
	Host string
}

// Notify sends marks to a host. With isRelay, the host is asked to write them to the
// shared log as well. It returns an error if the host could not be reached.
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
	return errors.Annotatef(err, "notify host %s of crashes", host)
}

// Examine asks a host to find out whether a target has crashed. Hosts of an earlier release
// return an error.
func (c Client) Examine(ctx context.Context, host string, r poison.Report) (poison.Finding, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return poison.Finding{}, err
	}
	defer conn.Close()
	reply, err := quarantine.NewDRPCCrashesClient(conn).Examine(ctx, poison.ReportToWire(r, c.Host))
	if err != nil {
		return poison.Finding{}, errors.Annotatef(err, "ask host %s whether a target has crashed", host)
	}
	return poison.FindingFromWire(reply), nil
}

// Receiver handles what other hosts send.
type Receiver interface {
	// Receive adds marks. Relay also schedules them to be written to the shared log.
	Receive(host string, marks []poison.Mark)
	Relay(host string, marks []poison.Mark)
	// Examine finds out whether a target has crashed.
	Examine(ctx context.Context, host string, r poison.Report) poison.Finding
}

// Register registers the service for other hosts at a drpc server.
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

// Examine implements quarantine.DRPCCrashesServer.
func (h *handler) Examine(ctx context.Context, r *quarantine.ExamineRequest) (*quarantine.ExamineReply, error) {
	return poison.FindingToWire(h.receiver.Examine(ctx, r.GetHost(), poison.ReportFromWire(r))), nil
}
