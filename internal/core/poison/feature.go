package poison

// Kind is what a feature of a request consists of. The values are numbers on the wire.
type Kind uint32

// The kinds of features, the narrowest first.
const (
	// Content is the whole request: method, host, URI and body.
	Content Kind = iota
	// Body is the content without the query. Only requests with a query have it; without
	// one it is equivalent to Content.
	Body
	// Session is a session of a program, Program the program.
	Session
	Program
	// Path is the host and the path without the query.
	Path
)

// String returns the kind in lower case.
func (k Kind) String() string {
	names := [...]string{"content", "body", "session", "program", "path"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Feature is a property of requests that may explain why targets crash. Its fingerprint
// depends on the kind, so that features of two kinds do not share one.
type Feature struct {
	Kind        Kind
	Fingerprint uint64
}
