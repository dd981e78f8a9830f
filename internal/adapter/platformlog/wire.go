package platformlog

// PathStreams is the path prefix of the streams, relative to the log's address.
const PathStreams = "/log/streams/"

// Query parameters of a read.
const (
	ParamFrom = "from"
	ParamWait = "wait_ms"
)

// AppendRequest is the body of a request to append records to a stream.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer carries the offset of the first appended record.
type AppendAnswer struct {
	Offset int64 `json:"offset"`
}

// Refusal is the body of a refused request. Nothing was written.
type Refusal struct {
	Message string `json:"message"`
}
