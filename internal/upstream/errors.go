package upstream

// DialError says that no connection came about, so that nothing was sent.
type DialError struct {
	Target string
	Cause  error
}

// Error implements error.
func (e *DialError) Error() string {
	return "no connection to target " + e.Target + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// ExchangeError says that a request may have been sent and no whole answer
// came.
type ExchangeError struct {
	Target string
	// Sent says that at least one byte was handed to the connection.
	Sent bool
	// Garbled says that bytes came that are no answer to the request.
	Garbled bool
	Cause   error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	return "no answer from target " + e.Target + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }
