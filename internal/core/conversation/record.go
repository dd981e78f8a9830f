package conversation

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/gen/conversation"
)

// fragmentOverhead is the most that a fragment takes beside its data, in bytes.
const fragmentOverhead = 64

// Encode returns the records of a turn, each of up to recordBytes.
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
		part := data[i*size : min((i+1)*size, len(data))]
		records[i], err = proto.Marshal(&conversation.Fragment{Checksum: checksum, Index: uint32(i), Count: uint32(count), Data: part})
		if err != nil {
			return nil, errors.Annotatef(err, "turn %s", t.ID)
		}
	}
	return records, nil
}

// Decoder puts the records of one partition together to turns. Records of several
// turns may lie between each other, and a turn may come twice.
type Decoder struct {
	part int
	open map[uint64]*fragments
}

type fragments struct {
	data    [][]byte
	missing int
}

const (
	// maxOpen bounds how many turns wait for further fragments. The writer of a turn
	// that has not come in whole after so many others has ended.
	maxOpen = 16
	// maxFragments bounds the fragments of a turn.
	maxFragments = 1024
)

// NewDecoder returns a decoder for a partition.
func NewDecoder(part int) *Decoder {
	return &Decoder{part: part, open: make(map[uint64]*fragments)}
}

// Decode takes the next record. It returns a turn if that is whole now, and nil
// if it is not.
func (d *Decoder) Decode(record []byte) (*Turn, error) {
	var m conversation.Fragment
	if err := proto.Unmarshal(record, &m); err != nil {
		return nil, errors.Annotate(err, "fragment of a turn")
	}
	if m.Count == 0 || m.Count > maxFragments || m.Index >= m.Count {
		return nil, errors.Errorf("fragment %d of %d", m.Index, m.Count)
	}
	data := m.Data
	if m.Count > 1 {
		if data = d.join(&m); data == nil {
			return nil, nil
		}
	}
	if xxhash.Sum64(data) != m.Checksum {
		return nil, errors.New("turn differs from its checksum")
	}
	var t conversation.Turn
	if err := proto.Unmarshal(data, &t); err != nil {
		return nil, errors.Annotate(err, "turn")
	}
	return FromWire(&t, d.part)
}

// join returns the data of a turn with its last fragment, and nil before.
func (d *Decoder) join(m *conversation.Fragment) []byte {
	f := d.open[m.Checksum]
	if f == nil || len(f.data) != int(m.Count) {
		if len(d.open) >= maxOpen {
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
	for _, part := range f.data {
		data = append(data, part...)
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
	}
}

// FromWire reads the message of a turn of a partition.
func FromWire(m *conversation.Turn, part int) (*Turn, error) {
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
		Partition:      part,
		EndedAt:        time.UnixMilli(m.EndedMs),
		ChainStartedAt: time.UnixMilli(m.StartedMs),
		Input:          m.Input,
		Output:         m.Output,
	}, nil
}
