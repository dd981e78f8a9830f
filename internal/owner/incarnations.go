package owner

import (
	"context"
	"maps"
	"time"

	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
)

const (
	// incarnationPollInterval is the interval at which the engines are asked for
	// their incarnations.
	incarnationPollInterval = 5 * time.Second
	// engineStatusTimeout bounds one status request to an engine.
	engineStatusTimeout = time.Second
)

func portTarget(t *config.Target) port.Target {
	return port.Target{
		Name:          t.Name,
		Address:       t.Address,
		DataCentre:    t.DataCentre,
		ChecksFencing: t.ChecksFencing,
	}
}

// engineTargets returns the targets that serve a model.
func (s *Service) engineTargets() []port.Target {
	var targets []port.Target
	document := s.params.Config.Current().Document
	for i := range document.Targets {
		if document.Targets[i].Model != "" {
			targets = append(targets, portTarget(&document.Targets[i]))
		}
	}
	return targets
}

// pollIncarnations refreshes the engines' incarnations until the Service stops. A
// claim carries them, so that a later owner can tell whether an engine has
// restarted, and lost its usage data, since then.
func (s *Service) pollIncarnations() {
	for sleep(s.ctx, incarnationPollInterval) {
		s.refreshIncarnations()
	}
}

func (s *Service) refreshIncarnations() {
	targets := s.engineTargets()
	type report struct {
		name        string
		incarnation uint64
	}
	reports := make(chan report, len(targets))
	for _, t := range targets {
		s.spawn(func() {
			ctx, cancel := context.WithTimeout(s.ctx, engineStatusTimeout)
			defer cancel()
			status, err := s.params.Engine.Status(ctx, t)
			if err != nil {
				reports <- report{}
				return
			}
			reports <- report{name: t.Name, incarnation: status.Incarnation}
		})
	}
	found := make(map[string]uint64, len(targets))
	for range targets {
		select {
		case r := <-reports:
			if r.name != "" {
				found[r.name] = r.incarnation
			}
		case <-s.ctx.Done():
			return
		}
	}
	s.incarnations.Store(&found)
}

// engineIncarnations returns the incarnations that the engines last reported, by
// target name.
func (s *Service) engineIncarnations() map[string]uint64 {
	m := s.incarnations.Load()
	if m == nil {
		return nil
	}
	return maps.Clone(*m)
}

// claimIncarnations returns the incarnations from the claim and adds the engines
// that are new since then. An engine that has restarted keeps its old entry, since
// calls that it has lost track of may have no outcome yet. The caller holds p.mu.
func (p *partitionState) claimIncarnations() map[string]uint64 {
	m := p.service.engineIncarnations()
	if m == nil {
		m = make(map[string]uint64)
	}
	maps.Copy(m, p.ledger.Targets)
	return m
}
