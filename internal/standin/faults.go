package standin

import (
	"maps"
	"slices"
	"strings"
	"time"

	"yuccausher/internal/fault"
)

// FaultKind names a fault that the control can set.
type FaultKind string

// The kinds of faults.
const (
	FaultLogDown           FaultKind = "log_down"
	FaultLogSlow           FaultKind = "log_slow"
	FaultLogLostAck        FaultKind = "log_lost_ack"
	FaultTargetCrash       FaultKind = "target_crash"
	FaultCrashOnMatch      FaultKind = "crash_on_match"
	FaultServiceLostAnswer FaultKind = "service_lost_answer"
	FaultServiceHang       FaultKind = "service_hang"
	FaultCrossedAnswers    FaultKind = "crossed_answers"
	FaultHostKill          FaultKind = "host_kill"
	FaultHostPause         FaultKind = "host_pause"
	FaultTargetLeaving     FaultKind = "target_leaving"
)

const (
	// defaultFaultTime is how long a fault lasts, and defaultFaultCount how
	// often it strikes, where the request does not say.
	defaultFaultTime  = 5 * time.Second
	defaultFaultCount = 1
	// slowLogBy is what a slow log adds to each append and read.
	slowLogBy = 500 * time.Millisecond
)

// FaultRequest asks for a fault. Which fields a kind takes is told by the
// refusal of a request that lacks one.
type FaultRequest struct {
	Kind    FaultKind `json:"kind"`
	Target  string    `json:"target,omitempty"`
	Host    *int      `json:"host,omitempty"`
	Service string    `json:"service,omitempty"`
	Count   *int      `json:"count,omitempty"`
	// DurationMS is in milliseconds; zero ends a fault that lasts.
	DurationMS *int64 `json:"duration_ms,omitempty"`
	// Match is the text to crash on; an empty one ends that.
	Match *string `json:"match,omitempty"`
}

func (r FaultRequest) count() int {
	if r.Count == nil {
		return defaultFaultCount
	}
	return *r.Count
}

func (r FaultRequest) duration() time.Duration {
	if r.DurationMS == nil {
		return defaultFaultTime
	}
	return time.Duration(*r.DurationMS) * time.Millisecond
}

// injectors sets the faults by kind. The request's numbers are valid.
var injectors = map[FaultKind]func(Platform, FaultRequest) error{
	FaultLogDown: func(p Platform, r FaultRequest) error {
		p.Log.Down(r.duration())
		return nil
	},
	FaultLogSlow: func(p Platform, r FaultRequest) error {
		p.Log.Slow(r.duration(), slowLogBy)
		return nil
	},
	FaultLogLostAck: func(p Platform, r FaultRequest) error {
		p.Log.LostAck(r.count())
		return nil
	},
	FaultTargetCrash:       Platform.crashTarget,
	FaultCrashOnMatch:      Platform.crashOnMatch,
	FaultServiceLostAnswer: Platform.loseServiceAnswers,
	FaultServiceHang:       Platform.hangService,
	FaultCrossedAnswers:    Platform.crossAnswers,
	FaultHostKill:          Platform.killHost,
	FaultHostPause:         Platform.pauseHost,
	FaultTargetLeaving:     Platform.leaveTarget,
}

// Inject sets a fault. Its errors are *fault.Fault.
func (p Platform) Inject(r FaultRequest) error {
	inject := injectors[r.Kind]
	if inject == nil {
		return unknownName("kind", string(r.Kind), faultKinds())
	}
	if r.count() < 0 {
		return wrongField("count", "must be at least 0")
	}
	if r.duration() < 0 {
		return wrongField("duration_ms", "must be at least 0")
	}
	return inject(p, r)
}

func faultKinds() []string {
	var kinds []string
	for kind := range injectors {
		kinds = append(kinds, string(kind))
	}
	slices.Sort(kinds)
	return kinds
}

func (p Platform) crashTarget(r FaultRequest) error {
	if e := p.Fleet.Engine(r.Target); e != nil {
		e.Crash()
		return nil
	}
	if s := p.Fleet.Service(r.Target); s != nil {
		s.Crash()
		return nil
	}
	return unknownName("target", r.Target, p.Fleet.TargetNames())
}

func (p Platform) crashOnMatch(r FaultRequest) error {
	if r.Match == nil {
		return wrongField("match", "must be the text to crash on")
	}
	for _, e := range p.Fleet.engines {
		e.CrashOn(*r.Match)
	}
	for _, s := range p.Fleet.services {
		s.CrashOn(*r.Match)
	}
	return nil
}

func (p Platform) loseServiceAnswers(r FaultRequest) error {
	if !p.Fleet.HasService(r.Service) {
		return unknownName("service", r.Service, p.Fleet.ServiceNames())
	}
	p.Runs.LoseAnswers(r.Service, r.count())
	return nil
}

// hangService makes calls hang until their callers give up, or for the time
// that the request gives.
func (p Platform) hangService(r FaultRequest) error {
	if !p.Fleet.HasService(r.Service) {
		return unknownName("service", r.Service, p.Fleet.ServiceNames())
	}
	var d time.Duration
	if r.DurationMS != nil {
		d = r.duration()
	}
	p.Runs.Hang(r.Service, r.count(), d)
	return nil
}

func (p Platform) crossAnswers(r FaultRequest) error {
	if r.Target == "" {
		for _, e := range p.Fleet.engines {
			e.CrossAnswers(r.count())
		}
		return nil
	}
	e := p.Fleet.Engine(r.Target)
	if e == nil {
		return unknownName("target", r.Target, p.Fleet.EngineNames())
	}
	e.CrossAnswers(r.count())
	return nil
}

func (p Platform) killHost(r FaultRequest) error {
	if err := p.checkHost(r); err != nil {
		return err
	}
	return p.Hosts.Kill(*r.Host)
}

func (p Platform) pauseHost(r FaultRequest) error {
	if err := p.checkHost(r); err != nil {
		return err
	}
	return p.Hosts.Pause(*r.Host, r.duration())
}

func (p Platform) checkHost(r FaultRequest) error {
	if p.Hosts == nil {
		return wrongField("kind", "the hosts are other processes: signal the process itself")
	}
	if r.Host == nil || *r.Host < 0 || *r.Host >= p.Hosts.Count() {
		return wrongField("host", "must be the index of a host, from 0")
	}
	return nil
}

// leaveTarget makes a target leave for the time given, or for good.
func (p Platform) leaveTarget(r FaultRequest) error {
	if p.Fleet.Leave(r.Target, true) != nil {
		return unknownName("target", r.Target, p.Fleet.TargetNames())
	}
	if r.DurationMS == nil {
		return nil
	}
	time.AfterFunc(r.duration(), func() { _ = p.Fleet.Leave(r.Target, false) })
	return nil
}

// EngineNames returns the names of the engines, sorted.
func (f *Fleet) EngineNames() []string { return slices.Sorted(maps.Keys(f.engines)) }

// TargetNames returns the names of all targets, sorted.
func (f *Fleet) TargetNames() []string {
	names := append(f.EngineNames(), slices.Collect(maps.Keys(f.services))...)
	slices.Sort(names)
	return names
}

// ServiceNames returns the names of the services, sorted.
func (f *Fleet) ServiceNames() []string {
	var names []string
	for _, s := range f.services {
		names = append(names, s.options.Services...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// HasService says whether a target serves the service.
func (f *Fleet) HasService(service string) bool {
	return slices.Contains(f.ServiceNames(), service)
}

func wrongField(path, message string) *fault.Fault {
	f := fault.New(fault.InvalidRequest, fault.NotRun, "%s %s", path, message)
	f.Fields = []fault.Field{{Path: path, Message: message}}
	return f
}

func joined(names []string) string { return strings.Join(names, ", ") }
