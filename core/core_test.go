package core

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a wrong order of positions: the unconfirmed tail of an old primary's log can be
// longer than the new primary's log and must not count as newer.
func TestPositionCovers(t *testing.T) {
	tests := []struct {
		name string
		p, q Position
		want bool
	}{
		{"same", Position{2, 5}, Position{2, 5}, true},
		{"later offset", Position{2, 6}, Position{2, 5}, true},
		{"earlier offset", Position{2, 4}, Position{2, 5}, false},
		{"old primary's tail", Position{1, 9}, Position{2, 5}, false},
		{"new term, shorter log", Position{3, 4}, Position{2, 5}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.p.Covers(tt.q), tt.want)
		})
	}
}

// Guards against values of other builds that end the process when they are logged.
func TestNamesOfUnknownValues(t *testing.T) {
	for v := range 256 {
		for _, name := range []string{Fault(v).String(), Role(v).String(), Class(v).String(), Rank(v).String(), Op(v).String()} {
			assert.Assert(t, name != "")
		}
	}
	assert.Equal(t, Fault(200).String(), "Fault(200)")
	assert.Assert(t, FaultTooLarge.IsKnown() && !Fault(200).IsKnown())
}

func TestParsePosition(t *testing.T) {
	p, err := ParsePosition("3/41")
	assert.NilError(t, err)
	assert.Equal(t, p, Position{3, 41})
	for _, s := range []string{"", "3", "3/", "/4", "-1/2", "3/4/5", "a/b"} {
		_, err := ParsePosition(s)
		assert.Assert(t, err != nil, "accepted %q", s)
	}
}

// Guards against an error that reports "not run" although bytes of the request left the process.
func TestAttemptRefuse(t *testing.T) {
	var a Attempt
	var notRun *NotRunError
	assert.Assert(t, errors.As(a.Refuse(StateOverload, "queue is full", 0), &notRun))
	a.MarkSent()
	var unknown *UnknownOutcomeError
	assert.Assert(t, errors.As(a.Refuse(StateOverload, "queue is full", 0), &unknown))
	a.ConfirmNotRun()
	assert.Assert(t, errors.As(a.Refuse(StateOverload, "queue is full", 0), &notRun))
}

type funcService struct {
	name string
	run  func(ctx context.Context) error
}

func (s funcService) Name() string                  { return s.name }
func (s funcService) Run(ctx context.Context) error { return s.run(ctx) }

// Guards against a process that keeps running without one of its services after that one failed.
func TestRegistryStopsAllOnFailure(t *testing.T) {
	r := NewRegistry()
	failure := errors.New("listener closed")
	assert.NilError(t, r.Register(funcService{"fails", func(context.Context) error { return failure }}))
	assert.NilError(t, r.Register(funcService{"waits", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }}))
	assert.ErrorIs(t, r.Run(context.Background()), failure)
	assert.ErrorContains(t, r.Register(funcService{name: "fails"}), "registered twice")
	_, err := Find[Dumper](r, "fails")
	assert.ErrorContains(t, err, "is a core.funcService")
}
