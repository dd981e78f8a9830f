package port

import "context"

// Configuration is the configuration in force and the way to change it.
type Configuration interface {
	// Current returns the version in force and its document; ok is false
	// before the first.
	Current() (version int64, document []byte, ok bool)
	// Publish validates a document whole and appends it, based on the
	// version it was made from. Its faults are of type invalid_config,
	// conflict and log_unavailable.
	Publish(ctx context.Context, base int64, document []byte) (version int64, err error)
}

// PartitionView is one partition as a host sees it.
type PartitionView struct {
	Partition uint32 `json:"partition"`
	Stream    string `json:"stream"`
	Owner     string `json:"owner"`
	Epoch     int64  `json:"epoch"`
	// State is "owned", "claiming", "releasing", "other" or "unclaimed".
	State    string `json:"state"`
	Programs int    `json:"programs"`
}

// TargetView is one target as a host sees it.
type TargetView struct {
	Name       string   `json:"name"`
	Address    string   `json:"address"`
	DataCentre string   `json:"data_centre"`
	Model      string   `json:"model,omitempty"`
	Services   []string `json:"services,omitempty"`
	// State is "healthy", "suspect", "leaving" or "down".
	State string `json:"state"`
	// Running is what this host has at the target, Limit its present bound.
	Running int `json:"running"`
	Limit   int `json:"limit"`
	// ReportedRunning and ReportedQueued are the target's own, late, report.
	ReportedRunning int   `json:"reported_running"`
	ReportedQueued  int   `json:"reported_queued"`
	KVTokens        int64 `json:"kv_tokens"`
}

// Operations is what operators can see and do at one host.
type Operations interface {
	Hosts() []Member
	Targets() []TargetView
	Partitions() []PartitionView
	// Drain starts a planned stop and returns at once.
	Drain(ctx context.Context) error
	// Ready returns nil, or the fault that keeps the host from serving.
	Ready() error
}
