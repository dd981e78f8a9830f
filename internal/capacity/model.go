package capacity

import (
	"yuccausher/internal/core/membership"
	"yuccausher/internal/core/routing"
	"yuccausher/internal/owner"
)

// The settings of the product that the model needs.
const (
	// listReads is how often a host reads the target list, a second.
	listReads = 1
	// measuredTurnBytes is the input and output of a turn in the replay
	// benchmark.
	measuredTurnBytes = 4096
)

// Rows returns the figures of every role at a size.
func Rows(m Measurements, s Size) []Row {
	f := fits{m}
	var rows []Row
	rows = append(rows, entryRows(f, s)...)
	rows = append(rows, ownerRows(f, s)...)
	rows = append(rows, logRows(f, s)...)
	rows = append(rows, tailRows(f, s)...)
	rows = append(rows, memberRows(f, s)...)
	rows = append(rows, configRows(f, s)...)
	rows = append(rows, targetRows(f, s)...)
	return rows
}

func entryRows(f fits, s Size) []Row {
	const role = "entry"
	tokens := s.TokensPerSecond / s.Hosts
	requests := s.RequestsPerSecond / s.Hosts
	caller := f.line("CapacityStreamedDeltas", unitSeconds)
	forward := f.line("CapacityForwardedDeltas", unitSeconds)
	return []Row{
		{role, "pieces to callers", Data, Cores, tokens*caller.Slope + requests*caller.Intercept, 0,
			"CapacityStreamedDeltas: slope × tokens/s + intercept × requests/s; a piece per token, the caller's reading included", "one flush per wake-up of the stream"},
		{role, "pieces between hosts", Data, Cores, tokens*forward.Slope + requests*forward.Intercept, 0,
			"CapacityForwardedDeltas, likewise; both ends of the hop, all calls forwarded", "one drpc stream a call over pooled connections"},
		{role, "bytes between hosts, in and out", Data, ByteRate, 2 * tokens * bytesOfToken, 0,
			"2 × tokens/s × 4 B, without framing", "drpc"},
	}
}

func ownerRows(f fits, s Size) []Row {
	const role = "owner"
	requests := s.RequestsPerSecond / s.Hosts
	perProgram := f.slope("CapacityReplayPrograms", unitHeap)
	overhead := f.slope("CapacityReplayTurns", unitHeap) - measuredTurnBytes
	perHistory := s.ProgramTokens * bytesOfToken
	own := s.Programs / s.Hosts
	group := s.Programs / s.Streams
	index := perProgram + s.ProgramTurns*overhead
	return []Row{
		{role, "routing decisions", Control, Cores, requests * f.at("CapacityRouting", unitSeconds, s.Replicas), s.CoreShare,
			"CapacityRouting at n=600 × requests/s of a host", "power of d choices in a subset of 24 targets a model"},
		{role, "state without histories, today", Control, Bytes, s.Programs * index, s.MemoryBytes,
			"(CapacityReplayPrograms slope + 84 × (CapacityReplayTurns slope − 4,096)) × all programs: each host holds all", "today: whole state on every host"},
		{role, "state without histories, grouped", Control, Bytes, group * index, s.MemoryBytes,
			"the same × programs of one stream", "to build: a host follows one stream; own programs only hold turn indices"},
		{role, "state of own programs", Control, Bytes, own * index, s.MemoryBytes,
			"the same × programs of one host", "to build: followers keep claims and digests, not turns"},
		{role, "histories, today", Data, Bytes, s.Programs * perHistory, 0,
			"programs × 360,000 tokens × 4 B, all at their longest", "today: every host holds all histories, which does not fit"},
		{role, "histories of own programs", Data, Bytes, own * perHistory, 0,
			"the same / hosts", "to build: histories read from the log by offset at takeover, an LRU of live ones"},
	}
}

func logRows(f fits, s Size) []Row {
	const role = "log writer"
	overhead := f.slope("CapacityReplayTurns", unitLog) - measuredTurnBytes
	turn := s.ProgramTokens / s.ProgramTurns * bytesOfToken
	perSecond := s.RequestsPerSecond * (turn + overhead)
	return []Row{
		{role, "appends, all hosts, today", Control, Rate, s.Hosts * owner.DefaultAppendsPerSecond, s.LogAppends,
			"hosts × the writer's bound of 20/s, which does not depend on the load (TestAppendsPerHost)", "today: each host appends for itself"},
		{role, "appends, relayed", Control, Rate, s.Streams * owner.DefaultAppendsPerSecond, s.LogAppends,
			"streams × 20/s", "to build: one host a stream gathers the records of all (owner.Appender is the seam)"},
		{role, "bytes of records around a turn", Control, Bytes, overhead, 400,
			"CapacityReplayTurns: slope of log-bytes − 4,096", "protobuf records"},
		{role, "bytes appended, all hosts", Data, ByteRate, perSecond, 0,
			"requests/s × (360,000/84 tokens × 4 B + bytes around a turn)", "each turn is appended once; checkpoints come at half the retention"},
		{role, "bytes held", Data, Bytes, perSecond * s.RetentionSeconds, 0,
			"the same × 24 h of retention", "the log's retention"},
	}
}

func tailRows(f fits, s Size) []Row {
	const role = "tailer"
	perTurn := f.slope("CapacityReplayTurns", unitSeconds)
	return []Row{
		{role, "applying records, today", Control, Cores, s.RequestsPerSecond * perTurn, s.CoreShare,
			"CapacityReplayTurns slope × all requests/s", "today: every host applies every record"},
		{role, "applying records, grouped", Control, Cores, s.RequestsPerSecond / s.Streams * perTurn, s.CoreShare,
			"the same / streams", "to build: a host follows one stream of 24"},
	}
}

func memberRows(f fits, s Size) []Row {
	const role, name = "heartbeat neighbour", "CapacityMembership"
	interval := membership.Defaults().Interval.Seconds()
	return []Row{
		{role, "heartbeats sent", Control, ByteRate, f.at(name, unitSent, s.Hosts), s.BytesPerSecond,
			name + " at n=410", "direct heartbeats among neighbours, rumours with a bound"},
		{role, "heartbeat work", Control, Cores, f.at(name, unitSeconds, s.Hosts) / interval, s.CoreShare,
			name + " at n=410, a benchmark step an interval of 400 ms", "the same"},
		{role, "membership table", Control, Bytes, f.at(name, unitState, s.Hosts), s.MemoryBytes,
			name + " at n=410", "one row a host"},
	}
}

func configRows(f fits, s Size) []Row {
	const role, name = "configuration tail", "CapacityConfig"
	perSecond := s.ConfigPerDay / secondsPerDay
	return []Row{
		{role, "versions read", Control, ByteRate, f.at(name, unitRecord, s.Organisations) * 4 / 3 * perSecond, s.BytesPerSecond,
			name + " at n=2,100 firms × 4/3 for base64 × versions/s", "gzip records; an immutable snapshot swapped in"},
		{role, "parsing and indexing", Control, Cores, f.at(name, unitSeconds, s.Organisations) * perSecond, s.CoreShare,
			name + " at n=2,100 firms × versions/s", "the same"},
		{role, "a snapshot", Control, Bytes, f.at(name, "B/op", s.Organisations), s.MemoryBytes,
			name + ": all that parsing allocates, an upper bound", "the same"},
	}
}

func targetRows(f fits, s Size) []Row {
	const role = "steward and follower of targets"
	return []Row{
		{role, "target list read", Control, ByteRate, f.at("CapacityTargetList", unitRead, s.Replicas) * listReads, s.BytesPerSecond,
			"CapacityTargetList at n=600, a read a second, unchanged", "conditional reads by entity tag"},
		{role, "targets followed by a host", Control, CountUnit, routing.SubsetSize * s.Models, 0,
			"24 × models, whatever the number of replicas", "deterministic subset by rendezvous hashing"},
		{role, "targets under one steward", Control, CountUnit, s.Replicas / s.Hosts, 0,
			"replicas / hosts", "one claim a target"},
	}
}
