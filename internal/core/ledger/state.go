package ledger

import "yuccausher/internal/port"

// State is the state derived from the records of one stream.
type State struct {
	sequences      LastSequences
	partitions     map[uint32]*Partition
	partitionCount uint32
	firstOffset    int64
	verdictCounts  map[Verdict]int64
}

// NewState returns an empty state for a system of partitionCount partitions. The
// first record to be applied is the one at firstOffset; earlier records may have
// been trimmed from the stream.
func NewState(partitionCount uint32, firstOffset int64) *State {
	return &State{
		sequences:      make(LastSequences),
		partitions:     make(map[uint32]*Partition),
		partitionCount: partitionCount,
		firstOffset:    firstOffset,
		verdictCounts:  make(map[Verdict]int64),
	}
}

// Apply applies the next record of the stream and returns its verdict.
func (s *State) Apply(r port.Record) Verdict {
	v := s.apply(r)
	s.verdictCounts[v]++
	return v
}

func (s *State) apply(r port.Record) Verdict {
	e, ok := Decode(r)
	if !ok || e.Record.Partition >= s.partitionCount {
		return Garbage
	}
	if !s.sequences.Advance(e) {
		return Duplicate
	}
	return s.Partition(e.Record.Partition).Apply(e)
}

// Count returns the number of records that had verdict v.
func (s *State) Count(v Verdict) int64 { return s.verdictCounts[v] }

// Partition returns a partition. It is created on first use.
func (s *State) Partition(id uint32) *Partition {
	p := s.partitions[id]
	if p == nil {
		p = NewPartition(id, s.firstOffset)
		s.partitions[id] = p
	}
	return p
}
