package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"yuccausher/internal/adapter/httpapi"
)

const (
	operatorTimeout  = 15 * time.Second
	maxOperatorBytes = 16 << 20
)

// operatorClient makes operator calls to one host.
type operatorClient struct {
	base   string
	client *http.Client
}

func newOperatorClient(host string) *operatorClient {
	return &operatorClient{base: "http://" + host, client: &http.Client{Timeout: operatorTimeout}}
}

// RefusedError is an error response of a host.
type RefusedError struct {
	Status int
	Body   httpapi.ErrorBody
}

// Error implements error. Each invalid field is on a line of its own.
func (e *RefusedError) Error() string {
	d := e.Body.Error
	lines := []string{fmt.Sprintf("%s (%d): %s", d.Type, e.Status, d.Message)}
	for _, f := range d.Fields {
		lines = append(lines, f.Path+": "+f.Message)
	}
	return strings.Join(lines, "\n")
}

// call makes one call and returns the body and headers of the answer. An error
// response is returned as *RefusedError.
func (o *operatorClient) call(ctx context.Context, method, path string, header http.Header, body []byte) ([]byte, http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, method, o.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	reply, err := o.client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxOperatorBytes))
	if err != nil {
		return nil, nil, err
	}
	if reply.StatusCode < http.StatusBadRequest {
		return data, reply.Header, nil
	}
	refused := &RefusedError{Status: reply.StatusCode}
	if err := json.Unmarshal(data, &refused.Body); err != nil {
		return nil, nil, err
	}
	return nil, nil, refused
}

func (o *operatorClient) read(ctx context.Context, path string, out any) error {
	data, _, err := o.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, out)
}

// config returns the configuration document in effect and its version.
func (o *operatorClient) config(ctx context.Context) (document []byte, version string, err error) {
	data, header, err := o.call(ctx, http.MethodGet, "/v1/config", nil, nil)
	if err != nil {
		return nil, "", err
	}
	return data, strings.Trim(header.Get("ETag"), `"`), nil
}
