package budgetrpc

import (
	"yuccausher/internal/gen/spending"
	"yuccausher/internal/port"
)

func encodeLoan(l port.Loan) *spending.Loan {
	return &spending.Loan{Writer: l.Writer, Sequence: l.Sequence, Budget: l.Budget, Total: l.Total}
}

func encodeLoans(loans []port.Loan) []*spending.Loan {
	list := make([]*spending.Loan, 0, len(loans))
	for _, l := range loans {
		list = append(list, encodeLoan(l))
	}
	return list
}

// decodeLoan returns an empty loan for nil.
func decodeLoan(l *spending.Loan) port.Loan {
	return port.Loan{Writer: l.GetWriter(), Sequence: l.GetSequence(), Budget: l.GetBudget(), Total: l.GetTotal()}
}

func decodeLoans(list []*spending.Loan) []port.Loan {
	loans := make([]port.Loan, 0, len(list))
	for _, l := range list {
		loans = append(loans, decodeLoan(l))
	}
	return loans
}

func encodeProgramLoans(loans []port.ProgramLoan) []*spending.ProgramLoan {
	list := make([]*spending.ProgramLoan, 0, len(loans))
	for _, l := range loans {
		list = append(list, &spending.ProgramLoan{Program: []byte(l.Program), Loan: encodeLoan(l.Loan)})
	}
	return list
}

func decodeProgramLoans(list []*spending.ProgramLoan) []port.ProgramLoan {
	loans := make([]port.ProgramLoan, 0, len(list))
	for _, l := range list {
		loans = append(loans, port.ProgramLoan{Program: string(l.Program), Loan: decodeLoan(l.Loan)})
	}
	return loans
}
