package orders

import (
	"context"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/config"
	core "yuccausher/internal/core/orders"
	"yuccausher/internal/port"
)

// execute performs a step and returns the pause before the target's next check.
func (s *Service) execute(ctx context.Context, t *config.Target, incarnation uint64, d core.Decision) time.Duration {
	switch d.Step {
	case core.StepClaim:
		s.append(ctx, core.Record{Kind: core.KindClaim, Target: t.Name, Holder: s.self})
	case core.StepQueue:
		s.append(ctx, core.Record{Kind: core.KindLoad, Target: t.Name, Holder: s.self, Epoch: d.Epoch})
	case core.StepLoaded:
		s.recordOrder(t.Name, port.Order{}, incarnation)
		s.append(ctx, core.Record{Kind: core.KindLoaded, Target: t.Name, Holder: s.self, Epoch: d.Epoch})
	case core.StepOrder:
		if !s.sentRecently(t.Name, d.Order, incarnation) && s.sendOrder(ctx, t, d) {
			s.recordOrder(t.Name, d.Order, incarnation)
		}
	case core.StepNone:
		s.recordOrder(t.Name, port.Order{}, incarnation)
		return s.Settings.AssertInterval
	}
	return s.Settings.Interval
}

// sentRecently reports whether the target accepted the same order a short time ago.
// The status that it reports may lag behind.
func (s *Service) sentRecently(target string, o port.Order, incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.targets[target]
	if w == nil || w.lastOrder != o || w.lastIncarnation != incarnation {
		return false
	}
	interval := s.Settings.RepeatInterval
	if core.FetchesWeights(o.Kind) {
		interval = s.Settings.Rules.LoadTimeout
	}
	return time.Since(w.lastOrderAt) < interval
}

// recordOrder records the latest order that a target accepted. An empty order clears
// it.
func (s *Service) recordOrder(target string, o port.Order, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.targets[target]; w != nil {
		w.lastOrder, w.lastOrderAt, w.lastIncarnation = o, time.Now(), incarnation
	}
}

// append appends one record. A failed or ambiguous append needs no further handling:
// the next step is decided from the records that the stream then contains.
func (s *Service) append(ctx context.Context, r core.Record) {
	data, err := r.Encode()
	if err != nil {
		s.Logger.Error(err, "Record could not be encoded.")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.Settings.CallTimeout)
	defer cancel()
	kind := map[string]string{"kind": string(r.Kind)}
	if _, err := s.Log.Append(ctx, core.Stream, [][]byte{data}); err != nil {
		s.Metrics.Tagged(kind).Counter("append_failures").Inc(1)
		return
	}
	s.Metrics.Tagged(kind).Counter("appends").Inc(1)
}

// sendOrder sends an order within the lease that a fresh read of the stream grants,
// and reports whether the target accepted it.
func (s *Service) sendOrder(ctx context.Context, t *config.Target, d core.Decision) bool {
	start := time.Now()
	if !s.confirmClaim(ctx, t.Name, d.Epoch) {
		return false
	}
	deadline := start.Add(min(s.Settings.Rules.Lease, s.Settings.CallTimeout))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if ctx.Err() != nil {
		s.Metrics.Counter("leases_lapsed").Inc(1)
		return false
	}
	err := s.Engine.Order(ctx, portTarget(t), d.Order)
	s.reportOrder(t, d, err)
	return err == nil
}

// confirmClaim reads the stream to its end and reports whether this process still
// holds the claim.
func (s *Service) confirmClaim(ctx context.Context, target string, epoch int64) bool {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.CallTimeout)
	defer cancel()
	for {
		page, err := s.Log.Read(ctx, core.Stream, s.nextOffset(), 0)
		if err != nil {
			s.Metrics.Counter("log_read_failures").Inc(1)
			return false
		}
		s.applyPage(page)
		if s.nextOffset() >= page.End {
			return s.holdsClaim(target, epoch)
		}
	}
}

// holdsClaim reports whether this process holds a target's claim with that epoch.
func (s *Service) holdsClaim(target string, epoch int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	claim, ok := s.ledger.Claim(target)
	return ok && claim.Holder == s.self && claim.Epoch == epoch
}

// reportOrder counts and logs the result of an order.
func (s *Service) reportOrder(t *config.Target, d core.Decision, err error) {
	kind := string(d.Order.Kind)
	if err == nil {
		s.Metrics.Tagged(map[string]string{"kind": kind}).Counter("given").Inc(1)
		s.Logger.Info("Order accepted.", "target", t.Name, "kind", kind, "value", d.Order.Value, "epoch", d.Epoch)
		return
	}
	reason := "other"
	var failed *port.TargetError
	if errors.As(err, &failed) {
		reason = string(failed.Failure)
	}
	s.Metrics.Tagged(map[string]string{"kind": kind, "reason": reason}).Counter("order_refusals").Inc(1)
	s.Logger.Info("Order failed.", "target", t.Name, "kind", kind, "reason", reason)
}
