package upstream

// FoldedLineError reports a head with a line that begins with a blank or a tab. It may continue the line
// before it, which HTTP no longer has (RFC 9112, section 5.2), or be a field whose name begins so.
type FoldedLineError struct{}

// Error implements error.
func (*FoldedLineError) Error() string { return "line of the answer's head begins with a blank" }

// linePart is a place in a line of a head.
type linePart int

const (
	// lineStart is before the first byte of a line.
	lineStart linePart = iota
	// emptyLine is after a carriage return that may end an empty line.
	emptyLine
	// insideLine is after other bytes.
	insideLine
	// afterHead is after the empty line that ends the head.
	afterHead
)

// foldScanner looks for folded lines in a head while its bytes arrive. net/http joins them, and does not say so.
type foldScanner struct {
	at linePart
	// isFolded is set once there was a folded line.
	isFolded bool
}

// scan takes the next bytes. It ignores those after the head.
func (s *foldScanner) scan(data []byte) {
	for _, b := range data {
		switch {
		case s.at == afterHead:
			return
		case b == '\n' && s.at == insideLine:
			s.at = lineStart
		case b == '\n':
			s.at = afterHead
		case b == '\r' && s.at == lineStart:
			s.at = emptyLine
		default:
			s.isFolded = s.isFolded || s.at == lineStart && (b == ' ' || b == '\t')
			s.at = insideLine
		}
	}
}
