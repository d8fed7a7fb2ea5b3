package kvsim

import "time"

// history holds the versions of a value with the times at which they took effect, so that stale reads can
// be simulated.
type history[T any] struct {
	states []state[T]
}

type state[T any] struct {
	at    time.Time
	value T
}

// add appends a state and drops those that no read can return anymore, since they are older than maxLag.
func (h *history[T]) add(at time.Time, value T) {
	h.states = append(h.states, state[T]{at: at, value: value})
	drop := 0
	for drop+1 < len(h.states) && h.states[drop+1].at.Before(at.Add(-maxLag)) {
		drop++
	}
	h.states = h.states[drop:]
}

// last returns the newest state.
func (h *history[T]) last() T {
	var zero T
	if h == nil || len(h.states) == 0 {
		return zero
	}
	return h.states[len(h.states)-1].value
}

// asOf returns the state that was in effect at the time, or the zero value if there was none.
func (h *history[T]) asOf(at time.Time) T {
	var zero T
	if h == nil {
		return zero
	}
	for i := len(h.states) - 1; i >= 0; i-- {
		if !h.states[i].at.After(at) {
			return h.states[i].value
		}
	}
	return zero
}
