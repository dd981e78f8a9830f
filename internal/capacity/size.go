package capacity

// Size is the size of a fleet and what it is asked to do.
type Size struct {
	Hosts         float64
	Replicas      float64
	Models        float64
	DataCentres   float64
	Organisations float64
	Programs      float64
	ProgramTurns  float64
	// ProgramTokens is the history of a program at its end.
	ProgramTokens     float64
	RequestsPerSecond float64
	TokensPerSecond   float64
	ConfigPerDay      float64
	// FailuresPerDay and RestartsPerDay count hosts.
	FailuresPerDay float64
	RestartsPerDay float64
	Partitions     float64
	Streams        float64
	// LogAppends is how many appends a second the log takes: "several
	// hundred".
	LogAppends float64
	// RetentionSeconds is how long the log keeps a record.
	RetentionSeconds float64
	// The bounds for the control of one host.
	CoreShare      float64
	MemoryBytes    float64
	BytesPerSecond float64
}

// Planned returns the size that the fleet is designed for.
func Planned() Size {
	return Size{
		Hosts:             410,
		Replicas:          600,
		Models:            6,
		DataCentres:       6,
		Organisations:     2100,
		Programs:          130_000,
		ProgramTurns:      84,
		ProgramTokens:     360_000,
		RequestsPerSecond: 4000,
		TokensPerSecond:   1.8e6,
		ConfigPerDay:      1700,
		FailuresPerDay:    9,
		RestartsPerDay:    350,
		Partitions:        4096,
		Streams:           24,
		LogAppends:        500,
		RetentionSeconds:  secondsPerDay,
		CoreShare:         0.013,
		MemoryBytes:       64 << 20,
		BytesPerSecond:    8 << 10,
	}
}

const secondsPerDay = 24 * 60 * 60
