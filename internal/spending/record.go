package spending

import (
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/gen/spending"
)

// encode returns the record of a claim, with a mark unless that is zero.
func encode(c budget.Claim, m mark) ([]byte, error) {
	record := &spending.Claim{
		Writer:   c.Writer,
		Sequence: c.Sequence,
		Program:  []byte(c.Program),
		Budget:   c.Budget,
		Total:    c.Total,
		Settled:  c.Settled,
	}
	if !m.at.IsZero() {
		record.AtMs, record.FollowedMs = m.at.UnixMilli(), m.at.Sub(m.since).Milliseconds()
	}
	data, err := proto.Marshal(record)
	return data, errors.Trace(err)
}

// encodeAll returns the records of claims, the first one with a mark.
func encodeAll(claims []budget.Claim, m mark) ([][]byte, error) {
	records := make([][]byte, len(claims))
	for i, c := range claims {
		data, err := encode(c, m)
		m = mark{}
		if err != nil {
			return nil, err
		}
		records[i] = data
	}
	return records, nil
}

// decode returns the claim of a record and its mark, the zero mark if it has none.
func decode(data []byte) (budget.Claim, mark, error) {
	var r spending.Claim
	if err := proto.Unmarshal(data, &r); err != nil {
		return budget.Claim{}, mark{}, errors.Annotate(err, "claim")
	}
	var m mark
	if r.AtMs > 0 {
		m.at = time.UnixMilli(r.AtMs)
		m.since = m.at.Add(-time.Duration(r.FollowedMs) * time.Millisecond)
	}
	return budget.Claim{
		Writer:   r.Writer,
		Sequence: r.Sequence,
		Program:  string(r.Program),
		Budget:   r.Budget,
		Total:    r.Total,
		Settled:  r.Settled,
	}, m, nil
}
