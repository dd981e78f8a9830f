package budgetrpc

import (
	"time"

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

// encodeAge returns how long ago a time is, in microseconds; zero for the zero time.
func encodeAge(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(time.Since(t).Microseconds(), 1)
}

// decodeAge returns the time of an age. As the message was on its way, it may be later than the time that was encoded.
func decodeAge(microseconds int64) time.Time {
	if microseconds <= 0 {
		return time.Time{}
	}
	return time.Now().Add(-time.Duration(microseconds) * time.Microsecond)
}
