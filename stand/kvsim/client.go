package kvsim

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// errNoAnswer is what a client sees when the server closes the connection without an answer.
var errNoAnswer = errors.New("connection closed without an answer")

// Client returns an HTTP client that calls the server in this process, without a network. It works
// on the fake clock of testing/synctest.
func (s *Server) Client() *http.Client {
	return &http.Client{Transport: &localTransport{handler: s}}
}

// localTransport runs the handler in a goroutine per call.
type localTransport struct {
	handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (t *localTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	req := r.Clone(r.Context())
	if req.Body == nil {
		req.Body = http.NoBody
	}
	answer := &localAnswer{header: make(http.Header), status: http.StatusOK}
	done := make(chan error, 1)
	go func() { done <- answer.serve(t.handler, req) }()
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case err := <-done:
		if err != nil {
			return nil, err
		}
	}
	return &http.Response{
		Status: http.StatusText(answer.status), StatusCode: answer.status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: answer.header, Body: io.NopCloser(&answer.body),
		ContentLength: int64(answer.body.Len()), Request: r,
	}, nil
}

// localAnswer collects the answer of a handler.
type localAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *localAnswer) serve(h http.Handler, r *http.Request) (err error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if cause, ok := v.(error); !ok || !errors.Is(cause, http.ErrAbortHandler) {
			panic(v)
		}
		err = errNoAnswer
	}()
	h.ServeHTTP(a, r)
	return nil
}

func (a *localAnswer) Header() http.Header         { return a.header }
func (a *localAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }
func (a *localAnswer) WriteHeader(status int)      { a.status = status }
