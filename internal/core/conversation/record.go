package conversation

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/gen/conversation"
)

// fragmentOverhead is the maximum size of a fragment without its data, in bytes.
const fragmentOverhead = 64

// Encode returns the records of a turn, each of up to recordBytes bytes. A turn that
// does not fit one record is split into fragments.
func Encode(t *Turn, recordBytes int) ([][]byte, error) {
	data, err := proto.Marshal(ToWire(t))
	if err != nil {
		return nil, errors.Annotatef(err, "turn %s", t.ID)
	}
	size := max(recordBytes-fragmentOverhead, 1)
	checksum := xxhash.Sum64(data)
	count := max((len(data)+size-1)/size, 1)
	records := make([][]byte, count)
	for i := range count {
		fragment := data[i*size : min((i+1)*size, len(data))]
		records[i], err = proto.Marshal(&conversation.Fragment{Checksum: checksum, Index: uint32(i), Count: uint32(count), Data: fragment})
		if err != nil {
			return nil, errors.Annotatef(err, "turn %s", t.ID)
		}
	}
	return records, nil
}

// Decoder assembles turns from the records of one partition. The records of several
// turns may be interleaved, and a turn may be recorded more than once.
type Decoder struct {
	partition int
	open      map[uint64]*fragments
}

type fragments struct {
	data    [][]byte
	missing int
}

const (
	// maxOpenTurns is the maximum number of incomplete turns. All are dropped at the
	// limit: the writer of a turn that is still incomplete after so many others has
	// ended.
	maxOpenTurns = 16
	// maxFragments is the maximum number of fragments of a turn.
	maxFragments = 1024
)

// NewDecoder returns a decoder for a partition.
func NewDecoder(partition int) *Decoder {
	return &Decoder{partition: partition, open: make(map[uint64]*fragments)}
}

// Decode decodes the next record. It returns the turn that the record completes, or
// nil if fragments are still missing. It returns an error if the record or the turn
// can't be parsed, or if the turn does not match its checksum.
func (d *Decoder) Decode(record []byte) (*Turn, error) {
	var m conversation.Fragment
	if err := proto.Unmarshal(record, &m); err != nil {
		return nil, errors.Annotate(err, "parse fragment of a turn")
	}
	if m.Count == 0 || m.Count > maxFragments || m.Index >= m.Count {
		return nil, errors.Errorf("invalid fragment: index %d, count %d", m.Index, m.Count)
	}
	data := m.Data
	if m.Count > 1 {
		if data = d.join(&m); data == nil {
			return nil, nil
		}
	}
	if xxhash.Sum64(data) != m.Checksum {
		return nil, errors.New("turn does not match its checksum")
	}
	var t conversation.Turn
	if err := proto.Unmarshal(data, &t); err != nil {
		return nil, errors.Annotate(err, "parse turn")
	}
	return FromWire(&t, d.partition)
}

// join adds a fragment and returns the data of its turn, or nil if fragments are
// still missing.
func (d *Decoder) join(m *conversation.Fragment) []byte {
	f := d.open[m.Checksum]
	if f == nil || len(f.data) != int(m.Count) {
		if len(d.open) >= maxOpenTurns {
			clear(d.open)
		}
		f = &fragments{data: make([][]byte, m.Count), missing: int(m.Count)}
		d.open[m.Checksum] = f
	}
	if f.data[m.Index] == nil {
		f.data[m.Index] = m.Data
		f.missing--
	}
	if f.missing > 0 {
		return nil
	}
	delete(d.open, m.Checksum)
	var data []byte
	for _, fragment := range f.data {
		data = append(data, fragment...)
	}
	return data
}

// ToWire returns the message of a turn.
func ToWire(t *Turn) *conversation.Turn {
	return &conversation.Turn{
		Id:        []byte(t.ID),
		Previous:  []byte(t.Previous),
		Program:   []byte(t.Program),
		EndedMs:   t.EndedAt.UnixMilli(),
		StartedMs: t.ChainStartedAt.UnixMilli(),
		Input:     t.Input,
		Output:    t.Output,

		Organisation: []byte(t.Organisation),
	}
}

// FromWire returns the turn of a message in a partition. It returns an error if the
// turn has no ID or continues itself.
func FromWire(m *conversation.Turn, partition int) (*Turn, error) {
	if len(m.GetId()) == 0 {
		return nil, errors.New("turn without ID")
	}
	if string(m.Id) == string(m.Previous) {
		return nil, errors.New("turn that continues itself")
	}
	return &Turn{
		ID:             string(m.Id),
		Previous:       string(m.Previous),
		Program:        string(m.Program),
		Organisation:   string(m.Organisation),
		Partition:      partition,
		EndedAt:        time.UnixMilli(m.EndedMs),
		ChainStartedAt: time.UnixMilli(m.StartedMs),
		Input:          m.Input,
		Output:         m.Output,
	}, nil
}
