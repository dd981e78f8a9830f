package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccausher/internal/core/config"
	"yuccausher/internal/core/poison"
	"yuccausher/internal/port"
	"yuccausher/internal/sched"
	"yuccausher/internal/standin"
)

const (
	hostCount         = 12
	engineCount       = 10
	engineConcurrency = 8
	engineKVTokens    = 150_000
	toolConcurrency   = 400
	modelName         = "model"
	toolName          = "tool"
)

// Setup is one run.
type Setup struct {
	Policy Policy
	Case   Case
	// Load is the offered load as a share of the capacity.
	Load float64
	Seed uint64
	// Programs arrive for WarmUp, unmeasured, and then for Window.
	WarmUp, Window time.Duration
}

// bench is the fleet, the hosts and what is measured.
type bench struct {
	Setup
	fleet   *standin.Fleet
	engine  port.Engine
	hosts   []*sched.Scheduler
	begun   time.Time
	random  *lockedSource
	running sync.WaitGroup
	evicts  sync.WaitGroup
	tally   tally
}

// lockedSource is a source of randomness for the callers' own choices.
type lockedSource struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedSource) float() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64()
}

func newBench(s Setup) *bench {
	b := &bench{Setup: s, begun: time.Now()}
	b.random = &lockedSource{r: rand.New(rand.NewPCG(s.Seed, 3))}
	b.fleet = newFleet(s.Case)
	b.engine = b.fleet.EngineClient()
	holder := &config.Holder{}
	holder.StoreIfNewer(config.NewSnapshot(1, document()))
	for i := range hostCount {
		b.hosts = append(b.hosts, sched.New(sched.Params{
			Config:       holder,
			Engine:       b.engine,
			HostList:     b.fleet,
			Self:         port.Host{ID: hostName(i), DataCentre: dataCentre(i)},
			Members:      members{},
			Seed:         s.Seed<<8 + uint64(i) + 1,
			OnQuarantine: b.shareQuarantine,
			OnCrash:      b.shareMark,
			Variant:      s.Policy.Variant,
		}))
	}
	return b
}

func (b *bench) shareQuarantine(fingerprint uint64) {
	for _, h := range b.hosts {
		h.Quarantine(fingerprint)
	}
}

func (b *bench) shareMark(m poison.Mark) {
	for _, h := range b.hosts {
		h.AddMarks(m)
	}
}

func (b *bench) start(ctx context.Context) error {
	for _, h := range b.hosts {
		if err := h.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) stop(ctx context.Context) {
	for _, h := range b.hosts {
		_ = h.Stop(ctx)
	}
}

// owner returns the host that owns a program.
func (b *bench) owner(root string) *sched.Scheduler {
	return b.hosts[xxhash.Sum64String(root)%hostCount]
}

func hostName(i int) string   { return fmt.Sprintf("host%d", i) }
func engineName(i int) string { return fmt.Sprintf("engine%d", i) }

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%3) }

func newFleet(c Case) *standin.Fleet {
	store := standin.NewKVStore()
	engines := make([]*standin.Engine, engineCount)
	for i := range engines {
		engines[i] = standin.NewEngine(standin.EngineOptions{
			Name: engineName(i), Model: modelName, DataCentre: dataCentre(i),
			KVTokens: engineKVTokens, Concurrency: engineConcurrency,
			PrefillPerToken: prefillPerToken, PerOutputToken: perOutputToken,
			EventDelay: c.EventDelay, EventLoss: c.EventLoss, ReportEvery: c.ReportEvery,
			Store:        store,
			OutputTokens: func(call port.ModelCall) int64 { return call.MaxTokens },
		})
		engines[i].CrashOn(poisonText)
	}
	return standin.NewFleet(engines, nil, nil, 0)
}

func document() *config.Document {
	d := &config.Document{
		Format: config.Format, Partitions: 64, Streams: 1,
		Organisations: []config.Organisation{{Name: organisationLedger, Weight: 1}, {Name: organisationRounds, Weight: 1}},
		Agents: []config.Agent{
			{Name: "inquiry", Organisation: organisationLedger, LatencyWeight: 0.5, CacheWeight: 1},
			{Name: "audit", Organisation: organisationLedger, LatencyWeight: 0.5, CacheWeight: 1},
			{Name: "reshuffle", Organisation: organisationRounds, LatencyWeight: 1, CacheWeight: 0.2},
		},
		Classes:  []config.Class{{Name: "normal"}},
		Models:   []config.Model{{Name: modelName, ContextTokens: engineKVTokens, MaxOutputTokens: 1024}},
		Services: []config.Service{{Name: toolName}},
	}
	for i := range engineCount {
		d.Targets = append(d.Targets, config.Target{
			Name: engineName(i), Address: "memory", DataCentre: dataCentre(i), Model: modelName,
			Concurrency: engineConcurrency, KVTokens: engineKVTokens,
		})
	}
	for i := range 2 {
		d.Targets = append(d.Targets, config.Target{
			Name: fmt.Sprintf("tool%d", i), Address: "memory", DataCentre: dataCentre(i),
			Services: []string{toolName}, Concurrency: toolConcurrency,
		})
	}
	return d
}

// members is a full view of all hosts.
type members struct{}

// Self implements port.Members.
func (members) Self() port.Host { return port.Host{} }

// Changed implements port.Members.
func (members) Changed() <-chan struct{} { return nil }

// Table implements port.Members.
func (members) Table() []port.Member {
	table := make([]port.Member, hostCount)
	for i := range table {
		table[i] = port.Member{Host: port.Host{ID: hostName(i)}, State: port.MemberAlive}
	}
	return table
}
