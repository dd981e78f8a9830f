package ledger

import "yuccausher/internal/port"

// State is what one stream's records amount to.
type State struct {
	marks      LastSequences
	partitions map[uint32]*Partition
	count      uint32
	floor      int64
	counts     map[Verdict]int64
}

// NewState returns the state of a stream that is read from offset floor on,
// for a system of count partitions.
func NewState(count uint32, floor int64) *State {
	return &State{
		marks:      make(LastSequences),
		partitions: make(map[uint32]*Partition),
		count:      count,
		floor:      floor,
		counts:     make(map[Verdict]int64),
	}
}

// Apply takes the next record of the stream.
func (s *State) Apply(r port.Record) Verdict {
	v := s.apply(r)
	s.counts[v]++
	return v
}

func (s *State) apply(r port.Record) Verdict {
	e, ok := Decode(r)
	if !ok || e.Record.Partition >= s.count {
		return Garbage
	}
	if !s.marks.Advance(e) {
		return Duplicate
	}
	return s.Partition(e.Record.Partition).Apply(e)
}

// Count returns how many records had a verdict.
func (s *State) Count(v Verdict) int64 { return s.counts[v] }

// Partition returns a partition, which is made if it is new.
func (s *State) Partition(id uint32) *Partition {
	p := s.partitions[id]
	if p == nil {
		p = NewPartition(id, s.floor)
		s.partitions[id] = p
	}
	return p
}
