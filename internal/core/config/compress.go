package config

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/juju/errors"
)

// maxRecordBytes is the maximum size of a decompressed record, in bytes.
const maxRecordBytes = 16 << 20

// gzipMagic is the prefix of each compressed record. No JSON text starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return out.Bytes(), nil
}

// decompress returns the JSON text of a record. A record that is not compressed
// is returned unchanged. The error is a *RecordError.
func decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, &RecordError{Reason: "not valid gzip", Cause: err}
	}
	text, err := io.ReadAll(io.LimitReader(r, maxRecordBytes+1))
	if err != nil {
		return nil, &RecordError{Reason: "not valid gzip", Cause: err}
	}
	if len(text) > maxRecordBytes {
		return nil, &RecordError{Reason: "larger than 16 MiB"}
	}
	return text, nil
}
