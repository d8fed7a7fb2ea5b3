package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"snipewall/core"
)

// CallError reports a failed call to the platform. A write may have taken effect nevertheless.
type CallError struct {
	// Op is the operation, for example "get".
	Op string
	// Path is the path of the HTTP request.
	Path string
	// Status is the HTTP status, or 0 if there was no answer.
	Status int
	Err    error
}

func (e *CallError) Error() string {
	if e.Status == 0 {
		return fmt.Sprintf("%s %s: no answer: %v", e.Op, e.Path, e.Err)
	}
	return fmt.Sprintf("%s %s: status %d: %v", e.Op, e.Path, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// call describes one HTTP request.
type call struct {
	op      string
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration
}

// fail returns a *CallError for the call.
func (c call) fail(status int, err error) error {
	return core.ErrPlatform.Wrap(&CallError{Op: c.op, Path: c.path, Status: status, Err: err})
}

// answer is an HTTP response with its whole body.
type answer struct {
	status int
	index  core.Version
	body   []byte
}

// reason returns the start of the body, which explains why the call was refused.
func (a answer) reason() string {
	text := strings.TrimSpace(string(a.body))
	if text == "" {
		return http.StatusText(a.status)
	}
	if len(text) > maxReasonSize {
		text = text[:maxReasonSize]
	}
	return text
}

func (a answer) decode(c call, v any) error {
	if a.status != http.StatusOK {
		return c.fail(a.status, errors.New(a.reason()))
	}
	if err := json.Unmarshal(a.body, v); err != nil {
		return c.fail(a.status, err)
	}
	return nil
}

// do sends the request and reads the whole answer within the call's timeout.
func (s *Store) do(ctx context.Context, c call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := s.base.JoinPath(c.path)
	target.RawQuery = c.query.Encode()
	req, err := http.NewRequestWithContext(ctx, c.method, target.String(), bytes.NewReader(c.body))
	if err != nil {
		return answer{}, c.fail(0, err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return answer{}, c.fail(0, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize+1))
	if err != nil {
		return answer{}, c.fail(0, err)
	}
	if len(body) > maxAnswerSize {
		return answer{}, c.fail(resp.StatusCode, fmt.Errorf("answer is longer than %d bytes", maxAnswerSize))
	}
	a := answer{status: resp.StatusCode, body: body}
	if index, err := strconv.ParseUint(resp.Header.Get(indexHeader), 10, 64); err == nil {
		a.index = core.Version(index)
	}
	return a, nil
}
