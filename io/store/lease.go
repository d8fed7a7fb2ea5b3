package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"snipewall/core"
)

// sessionRequest is the body of the request that creates a session, in the published JSON form.
type sessionRequest struct {
	TTL       string
	Behavior  string
	LockDelay string
}

// Grant implements core.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (core.LeaseID, error) {
	c := call{op: "grant", method: http.MethodPut, path: "/v1/session/create", timeout: s.cfg.CallTimeout}
	body, err := json.Marshal(sessionRequest{TTL: ttl.String(), Behavior: "delete", LockDelay: "0s"})
	if err != nil {
		return "", c.fail(0, err)
	}
	c.body = body
	a, err := s.do(ctx, c)
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	if err := a.decode(c, &created); err != nil {
		return "", err
	}
	if created.ID == "" {
		return "", c.fail(a.status, errors.New("answer holds no id"))
	}
	return core.LeaseID(created.ID), nil
}

// KeepAlive implements core.Store.
func (s *Store) KeepAlive(ctx context.Context, id core.LeaseID) error {
	c := call{op: "keep-alive", method: http.MethodPut, path: "/v1/session/renew/" + string(id), timeout: s.cfg.CallTimeout}
	a, err := s.do(ctx, c)
	if err != nil {
		return err
	}
	if a.status == http.StatusNotFound {
		return fmt.Errorf("lease %s: %w", id, core.ErrLeaseLost)
	}
	if a.status != http.StatusOK {
		return c.fail(a.status, errors.New(a.reason()))
	}
	return nil
}

// Revoke implements core.Store. It succeeds if the lease has ended already.
func (s *Store) Revoke(ctx context.Context, id core.LeaseID) error {
	c := call{op: "revoke", method: http.MethodPut, path: "/v1/session/destroy/" + string(id), timeout: s.cfg.CallTimeout}
	a, err := s.do(ctx, c)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK && a.status != http.StatusNotFound {
		return c.fail(a.status, errors.New(a.reason()))
	}
	return nil
}
