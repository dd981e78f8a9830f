package platformlog

// PathStreams is the path of the log's streams, below its address.
const PathStreams = "/log/streams/"

// The parameters of a read.
const (
	ParamFrom = "from"
	ParamWait = "wait_ms"
)

// AppendRequest adds records to a stream.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer gives the offset of the first record added.
type AppendAnswer struct {
	Offset int64 `json:"offset"`
}

// Refusal is the body of an answer that is not a success. Nothing was written.
type Refusal struct {
	Message string `json:"message"`
}
