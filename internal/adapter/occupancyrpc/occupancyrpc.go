// Package occupancyrpc carries the counts of requests at targets between hosts over drpc.
package occupancyrpc

import (
	"context"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	core "yuccausher/internal/core/occupancy"
	"yuccausher/internal/gen/occupancy"
	"yuccausher/internal/port"
)

// Dialer connects to other hosts.
type Dialer interface {
	Self() string
	Hosts() []string
	Connect(ctx context.Context, host string) (drpc.Conn, error)
}

// Client reaches the coordinators of targets. It implements port.OccupancyPeers.
type Client struct{ Dialer }

var _ port.OccupancyPeers = Client{}

// Admit implements port.OccupancyPeers.
func (c Client) Admit(ctx context.Context, host string, r port.AdmitRequest) (port.AdmitReply, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return port.AdmitReply{}, err
	}
	defer conn.Close()
	reply, err := occupancy.NewDRPCOccupancyClient(conn).Admit(ctx, &occupancy.AdmitRequest{
		Target:    []byte(r.Target),
		Lease:     r.Lease,
		Limit:     uint32(r.Limit),
		TtlMs:     uint32(r.TTL.Milliseconds()),
		Host:      r.Host,
		RateLimit: toWire(r.RateLimit, time.Now()),
		Level:     uint32(r.Level),
	})
	if err != nil {
		return port.AdmitReply{}, errors.Annotatef(err, "admit at host %s", host)
	}
	return port.AdmitReply{
		Reply:           core.Reply{Admitted: reply.Admitted, InProgress: int(reply.InProgress), IsSuspect: reply.IsSuspect},
		KnowsRateLimits: reply.KnowsRateLimits,
		IsDenied:        reply.IsDenied,
		RetryAfter:      milliseconds(reply.RetryAfterMs),
		RateLimits:      fromWires(reply.RateLimits, time.Now()),
		Learned:         learnedFromWire(reply.Learned),
	}, nil
}

var results = map[core.Result]occupancy.Result{
	core.Inconclusive: occupancy.Result_RESULT_INCONCLUSIVE,
	core.Answered:     occupancy.Result_RESULT_ANSWERED,
	core.Failed:       occupancy.Result_RESULT_FAILED,
}

// Finish implements port.OccupancyPeers.
func (c Client) Finish(ctx context.Context, host string, r port.FinishRequest) error {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = occupancy.NewDRPCOccupancyClient(conn).Finish(ctx, &occupancy.FinishRequest{
		Target: []byte(r.Target),
		Lease:  r.Lease,
		Host:   r.Host,
		Result: results[r.Result],

		RateLimit:   toWire(r.RateLimit, time.Now()),
		Observation: observationToWire(r.Observation),
	})
	return errors.Annotatef(err, "finish at host %s", host)
}

// Register registers s at a drpc server as the handler of occupancy requests.
func Register(mux drpc.Mux, s port.OccupancyServer) error {
	return errors.Trace(occupancy.DRPCRegisterOccupancy(mux, &handler{server: s}))
}

type handler struct{ server port.OccupancyServer }

// Admit implements occupancy.DRPCOccupancyServer.
func (h *handler) Admit(_ context.Context, r *occupancy.AdmitRequest) (*occupancy.AdmitReply, error) {
	now := time.Now()
	reply := h.server.AdmitLocal(port.AdmitRequest{
		Target:    string(r.Target),
		Lease:     r.Lease,
		Limit:     int(r.Limit),
		TTL:       milliseconds(r.TtlMs),
		Host:      r.Host,
		RateLimit: fromWire(r.RateLimit, now),
		Level:     int(r.Level),
	})
	wire := &occupancy.AdmitReply{
		Admitted:        reply.Admitted,
		InProgress:      uint32(reply.InProgress),
		IsSuspect:       reply.IsSuspect,
		KnowsRateLimits: reply.KnowsRateLimits,
		IsDenied:        reply.IsDenied,
		RetryAfterMs:    uint32(reply.RetryAfter.Milliseconds()),
		Learned:         learnedToWire(reply.Learned),
	}
	for _, l := range reply.RateLimits {
		wire.RateLimits = append(wire.RateLimits, toWire(l, now))
	}
	return wire, nil
}

// Finish implements occupancy.DRPCOccupancyServer.
func (h *handler) Finish(_ context.Context, r *occupancy.FinishRequest) (*occupancy.FinishReply, error) {
	finish := port.FinishRequest{Target: string(r.Target), Lease: r.Lease, Host: r.Host, RateLimit: fromWire(r.RateLimit, time.Now()), Observation: observationFromWire(r.Observation)}
	for result, wire := range results {
		if wire == r.Result {
			finish.Result = result
		}
	}
	h.server.FinishLocal(finish)
	return &occupancy.FinishReply{}, nil
}
