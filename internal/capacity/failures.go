package capacity

// FailureRow is what one kind of failure costs.
type FailureRow struct {
	Failure string
	// Hosts is how many hosts are lost at once.
	Hosts      float64
	Partitions float64
	Programs   float64
	// HistoryBytes is the most that new owners have to read, if histories are
	// read at takeover.
	HistoryBytes float64
	// ClaimAppends is how many appends the new claims take, relayed.
	ClaimAppends float64
	PerDay       float64
}

// hostsInRack is how many hosts share a rack or switch.
const hostsInRack = 10

// Failures returns what the failures of a size cost.
func Failures(s Size) []FailureRow {
	return []FailureRow{
		failure(s, "a host fails", 1, s.FailuresPerDay),
		failure(s, "a host is restarted or replaced", 1, s.RestartsPerDay),
		failure(s, "a rack or switch goes", hostsInRack, 1.0/45),
		failure(s, "a data centre goes", s.Hosts/s.DataCentres, 4.0/365),
	}
}

func failure(s Size, name string, hosts, perDay float64) FailureRow {
	share := hosts / s.Hosts
	return FailureRow{
		Failure:      name,
		Hosts:        hosts,
		Partitions:   s.Partitions * share,
		Programs:     s.Programs * share,
		HistoryBytes: s.Programs * share * s.ProgramTokens * bytesOfToken,
		ClaimAppends: min(s.Streams, s.Partitions*share),
		PerDay:       perDay,
	}
}
