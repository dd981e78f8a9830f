package replica

// Fault is what a replica does wrong with one request.
type Fault int

// The faults of a replica.
const (
	// None answers as it should.
	None Fault = iota
	// Full refuses the request without running it.
	Full
	// Lost runs the request and closes the connection without an answer.
	Lost
	// Reset runs the request and resets the connection.
	Reset
	// Cut breaks the answer off in its middle.
	Cut
	// Garbled answers with bytes that are no answer.
	Garbled
	// Extra sends a second answer, to another request, right after the first.
	Extra
	// Stray sends an answer to another request before the right one.
	Stray
	// Early answers before it has read the body and reads on later.
	Early
	// EarlyReset begins an answer without a length before it has read the body, and then resets the
	// connection. EarlyClose does the same when it has read half of the body, and closes the connection.
	EarlyReset
	EarlyClose
	// EarlyEnd answers without a length before it has read the body, ends its side of the connection and
	// reads the body later. EarlyUnframed does the same, but ends its side after it has read the body.
	EarlyEnd
	EarlyUnframed
	// Silent runs the request and never answers.
	Silent
	// Unframed answers without a length and closes the connection.
	Unframed
	// Encoded answers with a body that is not its own.
	Encoded
	// Closing answers and closes the connection, after saying so.
	Closing
	// HalfClosed answers, says that the connection is kept and closes it.
	HalfClosed
	// Failing answers with a failure of its own.
	Failing
	// Leaving answers and says that the replica is leaving.
	Leaving
	// EndlessHead sends a header line that does not end, EndlessBody a body, and
	// EndlessRefusal the body of a refusal.
	EndlessHead
	EndlessBody
	EndlessRefusal
	// Dripping begins an answer and then sends a byte now and then without end.
	Dripping
	// Crashing begins to run the request and takes the replica down.
	Crashing
	// Vanishing does the same without a word: the connections stay open.
	Vanishing
	// CrashingUnframed begins an answer without a length or chunks, and takes the
	// replica down in the middle of it. The connections are closed, not reset, as those
	// of a killed process.
	CrashingUnframed
	// CrashingLarge does the same in a large answer with a length.
	CrashingLarge
	// LeavingUnframed says that the replica is leaving, in an answer without a length,
	// and ends the replica after it.
	LeavingUnframed
	// FullAgain runs the request and first sends an earlier refusal of it on the same
	// connection once more, if there was one. FullAgainAnonymous sends a refusal without
	// an ID if any request was refused on the connection, FullAgainOther one with the ID
	// of another request, MisdirectedAgainAnonymous one of a request for another replica.
	FullAgain
	FullAgainAnonymous
	FullAgainOther
	MisdirectedAgainAnonymous
	// CutHead sends a part of the head and closes the connection in order.
	CutHead
	// OddStatus answers with the status of AnswerStatus. The body looks like an answer to the same
	// request.
	OddStatus
	// Raw sends the bytes of AnswerRaw in place of an answer and closes the connection.
	Raw
	// The following concern streams that go on after an event.
	//
	// JSONResume answers with success and a body that is no stream, HTMLResume with
	// another type of content, EmptyResume without a length and without an event,
	// RestartedResume with the events from the first on, NoContentResume with 204.
	JSONResume
	HTMLResume
	EmptyResume
	RestartedResume
	NoContentResume
	// HeadInside sends the head and body of an error after half of the events of an
	// unframed stream, TextInside the body alone.
	HeadInside
	TextInside
)
