// Package config holds the configuration document, its validation and the
// rule by which versions follow each other. It does no I/O.
package config

// Format is the document format that this program writes and reads.
const Format = 1

// Document is the whole configuration. It takes effect everywhere or nowhere.
type Document struct {
	Format int `json:"format"`
	// Partitions and Streams are fixed once the first document is in force.
	Partitions uint32    `json:"partitions"`
	Streams    uint32    `json:"streams"`
	Firms      []Firm    `json:"firms"`
	Agents     []Agent   `json:"agents"`
	Classes    []Class   `json:"classes"`
	Models     []Model   `json:"models"`
	Targets    []Target  `json:"targets"`
	Services   []Service `json:"services"`
}

// Firm is a customer.
type Firm struct {
	Name string `json:"name"`
	// BudgetTokens bounds what all open programs of the firm may hold.
	BudgetTokens int64 `json:"budget_tokens"`
	// Weight is the firm's share of contended targets.
	Weight int `json:"weight"`
}

// Agent is a kind of program.
type Agent struct {
	Name string `json:"name"`
	Firm string `json:"firm"`
	// Class is used where the caller names none.
	Class string `json:"class"`
	// LatencyWeight and CacheWeight say what the firm minds more.
	LatencyWeight float64 `json:"latency_weight"`
	CacheWeight   float64 `json:"cache_weight"`
	// MaxTurns, MaxTokens, MaxWallMS and MaxRepeats stop programs that loop;
	// zero means no limit. MaxRepeats counts identical calls in a row.
	MaxTurns   int64 `json:"max_turns"`
	MaxTokens  int64 `json:"max_tokens"`
	MaxWallMS  int64 `json:"max_wall_ms"`
	MaxRepeats int64 `json:"max_repeats"`
}

// Class orders the programs of a firm; a lower priority goes first.
type Class struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
}

// Model is a model that targets can serve.
type Model struct {
	Name            string `json:"name"`
	ContextTokens   int64  `json:"context_tokens"`
	MaxOutputTokens int64  `json:"max_output_tokens"`
	TimeoutMS       int64  `json:"timeout_ms"`
	// Version and Adapter are the desired state of the targets that serve it.
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// Target is a back end. It serves either one model or some services.
type Target struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Model      string `json:"model,omitempty"`
	// Role is the desired role of an engine: "mixed", "prefill" or "decode".
	Role          string   `json:"role,omitempty"`
	Services      []string `json:"services,omitempty"`
	ChecksFencing bool     `json:"checks_fencing"`
	// Concurrency is the most calls that the target takes at once.
	Concurrency int `json:"concurrency"`
	// KVTokens is the cache memory of an engine, in tokens.
	KVTokens int64 `json:"kv_tokens,omitempty"`
}

// Service is a plain service. An operation that is not listed has the
// service's own idempotency.
type Service struct {
	Name       string      `json:"name"`
	Idempotent bool        `json:"idempotent"`
	TimeoutMS  int64       `json:"timeout_ms"`
	Operations []Operation `json:"operations,omitempty"`
}

// Operation is one operation of a service.
type Operation struct {
	Name       string `json:"name"`
	Idempotent bool   `json:"idempotent"`
	TimeoutMS  int64  `json:"timeout_ms,omitempty"`
}
