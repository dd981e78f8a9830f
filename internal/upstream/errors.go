package upstream

// DialError reports that no connection was established, so that nothing was sent.
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

// ExchangeError reports that a request may have been sent and the header of its answer
// was not received.
type ExchangeError struct {
	Target string
	// Sent is set if at least one byte was written to the connection.
	Sent bool
	// Garbled is set if the received bytes are not an answer to the request.
	Garbled bool
	Cause   error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	return "no answer from target " + e.Target + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }
