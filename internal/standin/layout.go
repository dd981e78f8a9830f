package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
)

// The names in the initial configuration document.
const (
	OrganisationAnnuities = "pettengill-crane"
	OrganisationRounds    = "brunner"

	AgentInquiry  = "ledger-inquiry"
	AgentAudit    = "audit"
	AgentParents  = "parent-inquiry"
	AgentPlanning = "round-planning"

	ClassUrgent  = "urgent"
	ClassNormal  = "normal"
	ClassPatient = "patient"

	ModelLarge = "large"
	ModelSmall = "small"

	ServiceLedger  = "ledger"
	ServiceBilling = "billing"
	ServiceRouting = "routing"

	OperationPayout     = "post_payout"
	OperationForfeiture = "post_forfeiture"
	OperationShares     = "read_shares"
	OperationInvoice    = "issue_invoice"
	OperationCollection = "order_collection"
	OperationAccount    = "read_account"
)

// The layout of the stand-in platform.
const (
	partitions               = 64
	streams                  = 1
	enginesPerModel          = 5
	engineKVTokens           = 400_000
	engineConcurrency        = 16
	serviceTargets           = 2
	serviceCalls             = 64
	contextTokens            = 128_000
	outputTokensMax          = 4096
	organisationBudgetTokens = 50_000_000
	agentTokens              = 2_000_000
	maxTurns                 = 200
	maxRepeats               = 20
	maxWall                  = 4 * time.Hour
	modelTimeout             = time.Minute
	serviceTimeout           = 5 * time.Second

	prefillPerToken = 50 * time.Microsecond
	perOutputToken  = 5 * time.Millisecond
	serviceLatency  = 10 * time.Millisecond
	eventDelay      = 300 * time.Millisecond
	eventLoss       = 0.05
	reportEvery     = 200 * time.Millisecond
	listLag         = time.Second
	logLatency      = 4 * time.Millisecond
	logRate         = 300
	logRetention    = time.Hour
)

// defaultDataCentres are used where no host names one.
var defaultDataCentres = []string{"concord", "salem", "hartford"}

// NewPlatform returns a platform with two models and three services, spread
// over the hosts' data centres.
func NewPlatform(hosts []port.ListedHost) Platform {
	runs := NewRuns()
	centres := dataCentres(hosts)
	fleet := NewFleet(newEngines(centres), newServices(centres, runs), hosts, listLag)
	log := NewLog(LogOptions{Latency: logLatency, RatePerSecond: logRate, Retention: logRetention})
	return Platform{Log: log, Fleet: fleet, Runs: runs}
}

func dataCentres(hosts []port.ListedHost) []string {
	seen := make(map[string]bool)
	var centres []string
	for _, h := range hosts {
		if !seen[h.DataCentre] {
			seen[h.DataCentre] = true
			centres = append(centres, h.DataCentre)
		}
	}
	if len(centres) == 0 {
		return defaultDataCentres
	}
	return centres
}

func newEngines(centres []string) []*Engine {
	store := NewKVStore()
	var engines []*Engine
	for _, model := range []string{ModelLarge, ModelSmall} {
		for i := range enginesPerModel {
			engines = append(engines, NewEngine(EngineOptions{
				Name:            fmt.Sprintf("%s-%d", model, i+1),
				Model:           model,
				DataCentre:      centres[i%len(centres)],
				KVTokens:        engineKVTokens,
				Concurrency:     engineConcurrency,
				PrefillPerToken: prefillPerToken,
				PerOutputToken:  perOutputToken,
				EventDelay:      eventDelay,
				EventLoss:       eventLoss,
				ReportEvery:     reportEvery,
				ChecksFencing:   i%2 == 0,
				Store:           store,
			}))
		}
	}
	return engines
}

func newServices(centres []string, runs *Runs) []*Service {
	var services []*Service
	for _, name := range []string{ServiceLedger, ServiceBilling, ServiceRouting} {
		for i := range serviceTargets {
			services = append(services, NewService(ServiceOptions{
				Name:       fmt.Sprintf("%s-%d", name, i+1),
				DataCentre: centres[i%len(centres)],
				Services:   []string{name},
				Latency:    serviceLatency,
				Runs:       runs,
			}))
		}
	}
	return services
}

// Bases maps the names of targets to the URLs of the servers that serve them.
type Bases map[string]string

// Document returns a configuration of the platform's targets.
func (p Platform) Document(bases Bases) *config.Document {
	return &config.Document{
		Format:     config.Format,
		Partitions: partitions,
		Streams:    streams,
		Organisations: []config.Organisation{
			{Name: OrganisationAnnuities, BudgetTokens: organisationBudgetTokens, Weight: 1},
			{Name: OrganisationRounds, BudgetTokens: organisationBudgetTokens, Weight: 1},
		},
		Agents: []config.Agent{
			agent(AgentInquiry, OrganisationAnnuities, ClassUrgent, 1, 1),
			agent(AgentAudit, OrganisationAnnuities, ClassPatient, 0.5, 2),
			agent(AgentParents, OrganisationRounds, ClassNormal, 2, 0.5),
			agent(AgentPlanning, OrganisationRounds, ClassUrgent, 2, 0.5),
		},
		Classes: []config.Class{
			{Name: ClassUrgent, Priority: 0},
			{Name: ClassNormal, Priority: 1},
			{Name: ClassPatient, Priority: 2},
		},
		Models:   []config.Model{model(ModelLarge), model(ModelSmall)},
		Targets:  p.documentTargets(bases),
		Services: documentServices(),
	}
}

func agent(name, organisation, class string, latencyWeight, cacheWeight float64) config.Agent {
	return config.Agent{
		Name:          name,
		Organisation:  organisation,
		Class:         class,
		LatencyWeight: latencyWeight,
		CacheWeight:   cacheWeight,
		MaxTurns:      maxTurns,
		MaxTokens:     agentTokens,
		MaxWallMS:     maxWall.Milliseconds(),
		MaxRepeats:    maxRepeats,
	}
}

func model(name string) config.Model {
	return config.Model{
		Name:            name,
		ContextTokens:   contextTokens,
		MaxOutputTokens: outputTokensMax,
		TimeoutMS:       modelTimeout.Milliseconds(),
	}
}

func (p Platform) documentTargets(bases Bases) []config.Target {
	var targets []config.Target
	for _, name := range p.Fleet.EngineNames() {
		o := p.Fleet.Engine(name).options
		targets = append(targets, config.Target{
			Name:          name,
			Address:       bases[name] + pathEngines + "/" + name,
			DataCentre:    o.DataCentre,
			Model:         o.Model,
			Role:          "mixed",
			ChecksFencing: o.ChecksFencing,
			Concurrency:   o.Concurrency,
			KVTokens:      o.KVTokens,
		})
	}
	return append(targets, p.documentServiceTargets(bases)...)
}

func (p Platform) documentServiceTargets(bases Bases) []config.Target {
	var targets []config.Target
	for _, name := range p.Fleet.TargetNames() {
		s := p.Fleet.Service(name)
		if s == nil {
			continue
		}
		targets = append(targets, config.Target{
			Name:        name,
			Address:     bases[name] + pathServices + "/" + name,
			DataCentre:  s.options.DataCentre,
			Services:    s.options.Services,
			Concurrency: serviceCalls,
		})
	}
	return targets
}

func documentServices() []config.Service {
	return []config.Service{
		documentService(ServiceLedger, false,
			config.Operation{Name: OperationPayout},
			config.Operation{Name: OperationForfeiture},
			config.Operation{Name: OperationShares, Idempotent: true}),
		documentService(ServiceBilling, false,
			config.Operation{Name: OperationInvoice},
			config.Operation{Name: OperationCollection},
			config.Operation{Name: OperationAccount, Idempotent: true}),
		documentService(ServiceRouting, true),
	}
}

func documentService(name string, idempotent bool, operations ...config.Operation) config.Service {
	return config.Service{
		Name:       name,
		Idempotent: idempotent,
		TimeoutMS:  serviceTimeout.Milliseconds(),
		Operations: operations,
	}
}

// Publish appends the first configuration document, if the stream is empty.
func (p Platform) Publish(ctx context.Context, bases Bases) error {
	page, err := p.Log.Read(ctx, config.Stream, 0, 0)
	if err != nil {
		return errors.Trace(err)
	}
	if page.End > 0 {
		return nil
	}
	document, err := json.Marshal(p.Document(bases))
	if err != nil {
		return errors.Annotate(err, "encode configuration")
	}
	record, err := config.NewChange(0, 0, "first", document).Encode()
	if err != nil {
		return errors.Trace(err)
	}
	_, err = p.Log.Append(ctx, config.Stream, [][]byte{record})
	return errors.Trace(err)
}
