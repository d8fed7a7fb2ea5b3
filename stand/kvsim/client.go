package kvsim

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// errNoResponse is returned to a client if the handler aborts the call, as a closed connection would be.
var errNoResponse = errors.New("connection closed without an answer")

// Client returns an HTTP client that calls the server's handlers in this process, without a network, so
// that it works on the fake clock of testing/synctest.
func (s *Server) Client() *http.Client {
	return &http.Client{Transport: &localTransport{handler: s}}
}

// localTransport is an http.RoundTripper that runs the handler in a goroutine per call.
type localTransport struct {
	handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (t *localTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	req := r.Clone(r.Context())
	if req.Body == nil {
		req.Body = http.NoBody
	}
	resp := &localResponse{header: make(http.Header), status: http.StatusOK}
	done := make(chan error, 1)
	go func() { done <- resp.serve(t.handler, req) }()
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case err := <-done:
		if err != nil {
			return nil, err
		}
	}
	return &http.Response{
		Status: http.StatusText(resp.status), StatusCode: resp.status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: resp.header, Body: io.NopCloser(&resp.body),
		ContentLength: int64(resp.body.Len()), Request: r,
	}, nil
}

// localResponse is an http.ResponseWriter that buffers the response.
type localResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *localResponse) serve(h http.Handler, r *http.Request) (err error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if cause, ok := v.(error); !ok || !errors.Is(cause, http.ErrAbortHandler) {
			panic(v)
		}
		err = errNoResponse
	}()
	h.ServeHTTP(w, r)
	return nil
}

func (w *localResponse) Header() http.Header         { return w.header }
func (w *localResponse) Write(p []byte) (int, error) { return w.body.Write(p) }
func (w *localResponse) WriteHeader(status int)      { w.status = status }
