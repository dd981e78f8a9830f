package budgetrpc

import (
	"yuccausher/internal/gen/spending"
	"yuccausher/internal/port"
)

func encodeLoans(loans []port.Loan) []*spending.Loan {
	list := make([]*spending.Loan, 0, len(loans))
	for _, l := range loans {
		list = append(list, &spending.Loan{Writer: l.Writer, Sequence: l.Sequence, Budget: l.Budget, Total: l.Total})
	}
	return list
}

func decodeLoans(list []*spending.Loan) []port.Loan {
	loans := make([]port.Loan, 0, len(list))
	for _, l := range list {
		loans = append(loans, port.Loan{Writer: l.Writer, Sequence: l.Sequence, Budget: l.Budget, Total: l.Total})
	}
	return loans
}
