package spending

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/gen/spending"
)

func encode(c budget.Claim) ([]byte, error) {
	data, err := proto.Marshal(&spending.Claim{
		Writer:   c.Writer,
		Sequence: c.Sequence,
		Program:  []byte(c.Program),
		Budget:   c.Budget,
		Total:    c.Total,
		Settled:  c.Settled,
	})
	return data, errors.Trace(err)
}

func encodeAll(claims []budget.Claim) ([][]byte, error) {
	records := make([][]byte, len(claims))
	for i, c := range claims {
		data, err := encode(c)
		if err != nil {
			return nil, err
		}
		records[i] = data
	}
	return records, nil
}

func decode(data []byte) (budget.Claim, error) {
	var m spending.Claim
	if err := proto.Unmarshal(data, &m); err != nil {
		return budget.Claim{}, errors.Annotate(err, "claim")
	}
	return budget.Claim{
		Writer:   m.Writer,
		Sequence: m.Sequence,
		Program:  string(m.Program),
		Budget:   m.Budget,
		Total:    m.Total,
		Settled:  m.Settled,
	}, nil
}
