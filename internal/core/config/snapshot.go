package config

// Snapshot is an immutable version of the configuration with indexes by name. A
// request uses one snapshot throughout its lifetime.
type Snapshot struct {
	// Version is the log offset of the document plus one; zero means none.
	Version  int64
	Document *Document

	organisations map[string]*Organisation
	agents        map[string]*Agent
	classes       map[string]*Class
	models        map[string]*Model
	targets       map[string]*Target
	services      map[string]*Service
	byModel       map[string][]*Target
	byService     map[string][]*Target
}

// NewSnapshot indexes a valid document. The caller must not modify the document
// afterwards.
func NewSnapshot(version int64, d *Document) *Snapshot {
	s := &Snapshot{
		Version:       version,
		Document:      d,
		organisations: indexBy(d.Organisations, func(o *Organisation) string { return o.Name }),
		agents:        indexBy(d.Agents, func(a *Agent) string { return a.Name }),
		classes:       indexBy(d.Classes, func(c *Class) string { return c.Name }),
		models:        indexBy(d.Models, func(m *Model) string { return m.Name }),
		targets:       indexBy(d.Targets, func(t *Target) string { return t.Name }),
		services:      indexBy(d.Services, func(v *Service) string { return v.Name }),
		byModel:       make(map[string][]*Target),
		byService:     make(map[string][]*Target),
	}
	for i := range d.Targets {
		t := &d.Targets[i]
		if t.Model != "" {
			s.byModel[t.Model] = append(s.byModel[t.Model], t)
		}
		for _, name := range t.Services {
			s.byService[name] = append(s.byService[name], t)
		}
	}
	return s
}

func indexBy[T any](list []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[name(&list[i])] = &list[i]
	}
	return m
}

// Organisation returns the organisation of that name, or nil.
func (s *Snapshot) Organisation(name string) *Organisation { return s.organisations[name] }

// Agent returns the agent of that name, or nil.
func (s *Snapshot) Agent(name string) *Agent { return s.agents[name] }

// Class returns the class of that name, or nil.
func (s *Snapshot) Class(name string) *Class { return s.classes[name] }

// Model returns the model of that name, or nil.
func (s *Snapshot) Model(name string) *Model { return s.models[name] }

// Target returns the target of that name, or nil.
func (s *Snapshot) Target(name string) *Target { return s.targets[name] }

// Service returns the service of that name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// ModelTargets returns the targets that serve a model.
func (s *Snapshot) ModelTargets(model string) []*Target { return s.byModel[model] }

// ServiceTargets returns the targets that serve a service.
func (s *Snapshot) ServiceTargets(service string) []*Target { return s.byService[service] }

// IsIdempotent reports whether an operation of a service is idempotent. It is
// false for an unknown service.
func (s *Snapshot) IsIdempotent(service, operation string) bool {
	v := s.services[service]
	if v == nil {
		return false
	}
	for i := range v.Operations {
		if v.Operations[i].Name == operation {
			return v.Operations[i].Idempotent
		}
	}
	return v.Idempotent
}
