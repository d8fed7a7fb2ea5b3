package owner

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"snipewall/core"
)

// Guards against a session index below a write of the session when commits of this owner finish in any
// order, other entry VMs commit in between, terms change and old commits are evicted.
func TestSessionLogCoversAllWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newSessionLog()
		term := core.Term(1)
		next := core.Offset(1)
		written := make(map[core.SessionID]core.Offset)
		var pending []commit
		settle := func() {
			if len(pending) == 0 {
				return
			}
			i := rapid.IntRange(0, len(pending)-1).Draw(t, "settled")
			c := pending[i]
			pending = append(pending[:i], pending[i+1:]...)
			l.end(c.session, core.Position{Term: term, Offset: c.offset})
			written[c.session] = max(written[c.session], c.offset)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			session := core.SessionID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "session")))
			switch rapid.SampledFrom([]string{"own", "own", "own", "settle", "settle", "foreign", "lost", "term", "evict"}).Draw(t, "step") {
			case "own":
				l.begin()
				pending = append(pending, commit{session: session, offset: next})
				next++
			case "settle":
				settle()
			case "foreign":
				written[session] = next
				next++
			case "lost": // a request that ends without a known commit
				l.begin()
				l.end(session, core.Position{})
				next++
			case "term":
				for len(pending) > 0 {
					settle()
				}
				term++
				next++
			case "evict":
				l.evictOldest()
			}
			// Only a commit whose result arrived can have been acknowledged before the index was requested.
			index := core.Position{Term: term, Offset: next - 1}
			for s, offset := range written {
				p, _ := l.requiredPosition(s, index)
				if p.Offset < offset || p.Offset > index.Offset {
					t.Fatalf("session %s wrote %d, index %v, required position %v, spans %v", s, offset, index, p, l.spans)
				}
			}
		}
	})
}

// Guards against sessions without writes that have to wait for the whole log to be applied.
func TestReadOnlySessionNeedsNoWait(t *testing.T) {
	run(t, nil, func(t *testing.T, f *fixture) {
		for range 5 {
			req := f.request(core.ClassWrite)
			req.Session = "writer"
			_, err := f.Execute(t.Context(), req, &caller{})
			assert.NilError(t, err)
		}
		last := core.Position{Term: 1, Offset: 5}
		f.view.set(func(v *fakeView) { v.index = last })
		p, err := f.SessionIndex(t.Context(), "writer")
		assert.NilError(t, err)
		assert.Equal(t, p, last)
		p, err = f.SessionIndex(t.Context(), "reader")
		assert.NilError(t, err)
		assert.Equal(t, p.Offset, core.Offset(0))

		f.view.set(func(v *fakeView) { v.index.Offset = 6 })
		p, err = f.SessionIndex(t.Context(), "reader")
		assert.NilError(t, err)
		assert.Equal(t, p.Offset, core.Offset(6), "a commit of another entry VM may be the reader's")

		f.view.set(func(v *fakeView) { v.primary = other })
		_, err = f.SessionIndex(t.Context(), "reader")
		var redirect *core.RedirectError
		assert.Assert(t, errors.As(err, &redirect), "%v", err)
	})
}

// Guards against an index that is too high only because results of this owner's commits are pending.
func TestSessionIndexWaitsForResults(t *testing.T) {
	run(t, nil, func(t *testing.T, f *fixture) {
		ends := make(chan error, 1)
		go func() {
			_, err := f.Execute(t.Context(), f.request(core.ClassWrite), &caller{})
			ends <- err
		}()
		time.Sleep(time.Millisecond)
		f.view.set(func(v *fakeView) { v.index = core.Position{Term: 1, Offset: 1} })
		p, err := f.SessionIndex(t.Context(), "reader")
		assert.NilError(t, err)
		assert.Equal(t, p.Offset, core.Offset(0))
		assert.NilError(t, <-ends)
	})
}
