// Package quotarpc carries the counts of organisations' requests between hosts over drpc.
package quotarpc

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	core "yuccausher/internal/core/quota"
	"yuccausher/internal/gen/quota"
	"yuccausher/internal/port"
)

// unknownCall is a part of the message of the error that drpc's handler returns for a call that it
// does not know. The error has no code.
const unknownCall = "unknown rpc"

// maxCount bounds numbers of requests in a message, so that sums can't overflow.
const maxCount = 1 << 31

// Dialer connects to other hosts.
type Dialer interface {
	Self() string
	Hosts() []string
	Connect(ctx context.Context, host string) (drpc.Conn, error)
}

// Client reaches the coordinators of organisations. It implements port.QuotaPeers.
type Client struct{ Dialer }

var _ port.QuotaPeers = Client{}

// Tell implements port.QuotaPeers.
func (c Client) Tell(ctx context.Context, host string, r port.QuotaReports) ([]core.Reply, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	wire, err := quota.NewDRPCQuotaClient(conn).Tell(ctx, &quota.TellRequest{From: r.From, Reports: toWire(r.Reports)})
	if err != nil {
		return nil, callError(err, host)
	}
	if len(wire.Grants) != len(r.Reports) {
		return nil, errors.Errorf("host %s answered %d of %d reports", host, len(wire.Grants), len(r.Reports))
	}
	replies := make([]core.Reply, len(wire.Grants))
	for i, g := range wire.Grants {
		replies[i] = core.Reply{
			Granted:    int64(min(g.Granted, maxCount)),
			RetryAfter: time.Duration(min(g.RetryAfterUs, maxCount)) * time.Microsecond,
			IsPartial:  g.IsPartial,
		}
	}
	return replies, nil
}

// Collect implements port.QuotaPeers.
func (c Client) Collect(ctx context.Context, host string, organisations []string) (port.QuotaCollection, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return port.QuotaCollection{}, err
	}
	defer conn.Close()
	r := &quota.CollectRequest{Coordinator: c.Self()}
	for _, o := range organisations {
		r.Organisations = append(r.Organisations, []byte(o))
	}
	reply, err := quota.NewDRPCQuotaClient(conn).Collect(ctx, r)
	if err != nil {
		return port.QuotaCollection{}, callError(err, host)
	}
	return port.QuotaCollection{Process: reply.Process, Reports: fromWire(reply.Reports)}, nil
}

func callError(err error, host string) error {
	if strings.Contains(err.Error(), unknownCall) {
		return &port.QuotaUnsupportedError{Host: host}
	}
	return errors.Annotatef(err, "quota call to host %s", host)
}

// Register registers s at a drpc server as the handler of reports.
func Register(mux drpc.Mux, s port.QuotaServer) error {
	return errors.Trace(quota.DRPCRegisterQuota(mux, &handler{server: s}))
}

type handler struct{ server port.QuotaServer }

// Tell implements quota.DRPCQuotaServer.
func (h *handler) Tell(ctx context.Context, r *quota.TellRequest) (*quota.TellReply, error) {
	reply := &quota.TellReply{}
	for _, v := range h.server.TellLocal(ctx, port.QuotaReports{From: r.From, Reports: fromWire(r.Reports)}) {
		reply.Grants = append(reply.Grants, &quota.Grant{Granted: uint64(v.Granted), RetryAfterUs: uint64(v.RetryAfter.Microseconds()), IsPartial: v.IsPartial})
	}
	return reply, nil
}

// Collect implements quota.DRPCQuotaServer.
func (h *handler) Collect(_ context.Context, r *quota.CollectRequest) (*quota.CollectReply, error) {
	organisations := make([]string, len(r.Organisations))
	for i, o := range r.Organisations {
		organisations[i] = string(o)
	}
	c := h.server.CollectLocal(r.Coordinator, organisations)
	return &quota.CollectReply{Process: c.Process, Reports: toWire(c.Reports)}, nil
}

func toWire(reports []core.Report) []*quota.Report {
	list := make([]*quota.Report, len(reports))
	for i, r := range reports {
		list[i] = &quota.Report{
			Organisation: []byte(r.Organisation),
			PerSecond:    r.Limit.PerSecond,
			Burst:        r.Limit.Burst,
			Version:      r.Limit.Version,
			Epoch:        r.Epoch,
			Seq:          r.Seq,
			Base:         r.Base,
			Total:        r.Total,
			Holding:      uint64(r.Holding),
			Want:         uint64(r.Want),
			Extra:        uint64(r.Extra),
		}
	}
	return list
}

func fromWire(wire []*quota.Report) []core.Report {
	list := make([]core.Report, len(wire))
	for i, r := range wire {
		list[i] = core.Report{
			Organisation: string(r.Organisation),
			Limit:        core.Limit{PerSecond: r.PerSecond, Burst: r.Burst, Version: r.Version},
			Epoch:        r.Epoch,
			Seq:          r.Seq,
			Base:         r.Base,
			Total:        r.Total,
			Holding:      int64(min(r.Holding, maxCount)),
			Want:         int64(min(r.Want, maxCount)),
			Extra:        int64(min(r.Extra, maxCount)),
		}
	}
	return list
}
