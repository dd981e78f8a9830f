package fieldname

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is an http.RoundTripper for which an answer with an invalid field name in the head of its final
// or an interim answer is none.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper. Its error is an *InvalidError for such an answer. The request may
// have run then.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return Check(http.Header(header)) },
	}
	response, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	invalid := Check(response.Header)
	if invalid == nil {
		return response, nil
	}
	// Closing a body that has not been read closes its connection. That of an answer without a body is idle
	// already.
	_ = response.Body.Close()
	t.CloseIdleConnections()
	return nil, invalid
}
