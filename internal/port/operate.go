package port

import "context"

// Configuration reads and changes the configuration.
type Configuration interface {
	// Current returns the version and the document of the active configuration;
	// ok is false if there is none yet.
	Current() (version int64, document []byte, ok bool)
	// Publish validates a complete document and appends it. base is the version
	// that the document was derived from. Its faults are of type
	// invalid_config, conflict and log_unavailable.
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
	// Running is the number of calls that this host has running at the target,
	// Limit its current maximum.
	Running int `json:"running"`
	Limit   int `json:"limit"`
	// ReportedRunning and ReportedQueued are the target's own report, which may
	// be out of date.
	ReportedRunning int   `json:"reported_running"`
	ReportedQueued  int   `json:"reported_queued"`
	KVTokens        int64 `json:"kv_tokens"`
}

// Operations is the operators' interface of one host.
type Operations interface {
	Hosts() []Member
	Targets() []TargetView
	Partitions() []PartitionView
	// Drain starts a planned stop and returns immediately.
	Drain(ctx context.Context) error
	// Ready returns nil if the host is ready to serve, else the fault that
	// prevents it.
	Ready() error
}
