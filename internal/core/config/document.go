// Package config defines the configuration document, its validation and the
// rules that determine the version in force. It does no I/O.
package config

// Format is the document format that this software writes and reads.
const Format = 1

// Document is the complete configuration. It takes effect on all hosts or on none.
type Document struct {
	Format int `json:"format" validate:"eq=1"`
	// Partitions and Streams can't change once a document is in force.
	Partitions    uint32         `json:"partitions" validate:"min=1,max=65536"`
	Streams       uint32         `json:"streams" validate:"min=1,ltefield=Partitions"`
	Organisations []Organisation `json:"firms" validate:"max=100000,dive"`
	Agents        []Agent        `json:"agents" validate:"max=100000,dive"`
	Classes       []Class        `json:"classes" validate:"max=100000,dive"`
	Models        []Model        `json:"models" validate:"max=100000,dive"`
	Targets       []Target       `json:"targets" validate:"max=100000,dive"`
	Services      []Service      `json:"services" validate:"max=100000,dive"`
}

// Organisation is a customer that runs agent programs.
type Organisation struct {
	Name string `json:"name" validate:"required,max=128"`
	// BudgetTokens is the maximum total budget of the organisation's open
	// programs, in tokens.
	BudgetTokens int64 `json:"budget_tokens" validate:"min=1"`
	// Weight is the organisation's relative share of contended targets.
	Weight int `json:"weight" validate:"min=1,max=1000"`
}

// Agent defines a kind of program.
type Agent struct {
	Name         string `json:"name" validate:"required,max=128"`
	Organisation string `json:"firm" validate:"required"`
	// Class is the default class of the agent's programs.
	Class string `json:"class" validate:"required"`
	// LatencyWeight and CacheWeight are the relative importance of low latency
	// and of cache hits to the organisation.
	LatencyWeight float64 `json:"latency_weight" validate:"min=0,max=1000"`
	CacheWeight   float64 `json:"cache_weight" validate:"min=0,max=1000"`
	// MaxTurns, MaxTokens, MaxWallMS (milliseconds) and MaxRepeats stop programs
	// that loop; zero means no limit. MaxRepeats limits consecutive identical
	// calls.
	MaxTurns   int64 `json:"max_turns" validate:"min=0"`
	MaxTokens  int64 `json:"max_tokens" validate:"min=0"`
	MaxWallMS  int64 `json:"max_wall_ms" validate:"min=0"`
	MaxRepeats int64 `json:"max_repeats" validate:"min=0"`
}

// Class sets the priority of programs within an organisation. Lower values are
// scheduled first.
type Class struct {
	Name     string `json:"name" validate:"required,max=128"`
	Priority int    `json:"priority" validate:"min=0,max=1000"`
}

// Model is a model that targets can serve.
type Model struct {
	Name            string `json:"name" validate:"required,max=128"`
	ContextTokens   int64  `json:"context_tokens" validate:"min=1"`
	MaxOutputTokens int64  `json:"max_output_tokens" validate:"min=1,ltefield=ContextTokens"`
	TimeoutMS       int64  `json:"timeout_ms" validate:"min=1,max=3600000"`
	// Version and Adapter are the desired state of the targets that serve the
	// model.
	Version string `json:"version,omitempty" validate:"max=128"`
	Adapter string `json:"adapter,omitempty" validate:"max=128"`
}

// Target is a process that executes calls. It serves either one model or one or
// more services.
type Target struct {
	Name       string `json:"name" validate:"required,max=128"`
	Address    string `json:"address" validate:"required,http_url"`
	DataCentre string `json:"data_centre" validate:"required,max=128"`
	Model      string `json:"model,omitempty"`
	// Role is the desired role of an engine: "mixed", "prefill" or "decode".
	Role     string   `json:"role,omitempty" validate:"omitempty,oneof=mixed prefill decode"`
	Services []string `json:"services,omitempty"`
	// ChecksFencing is set if the target rejects orders with an outdated fencing
	// number.
	ChecksFencing bool `json:"checks_fencing"`
	// Concurrency is the maximum number of concurrent calls to the target.
	Concurrency int `json:"concurrency" validate:"min=1,max=100000"`
	// KVTokens is the KV cache capacity of an engine, in tokens.
	KVTokens int64 `json:"kv_tokens,omitempty" validate:"min=0"`
}

// Service is a service other than a model. Operations that are not listed use the
// service's Idempotent value.
type Service struct {
	Name       string      `json:"name" validate:"required,max=128"`
	Idempotent bool        `json:"idempotent"`
	TimeoutMS  int64       `json:"timeout_ms" validate:"min=1,max=3600000"`
	Operations []Operation `json:"operations,omitempty" validate:"dive"`
}

// Operation is one operation of a service.
type Operation struct {
	Name       string `json:"name" validate:"required,max=128"`
	Idempotent bool   `json:"idempotent"`
	TimeoutMS  int64  `json:"timeout_ms,omitempty" validate:"min=0,max=3600000"`
}
