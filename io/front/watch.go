package front

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// watchDelay is how long a request runs before its caller's connection is watched. Most requests
// end sooner and cost no watcher.
const watchDelay = 50 * time.Millisecond

// watcher cancels a request whose caller disconnects, so that the request doesn't occupy a queue or an
// upstream any longer.
type watcher struct {
	s      *session
	cancel context.CancelFunc
	timer  *time.Timer
	done   chan struct{}
}

// watch starts watching the caller's connection after watchDelay. It returns nil if the connection
// can't be watched.
func (s *session) watch(cancel context.CancelFunc) *watcher {
	if s.sys == nil {
		return nil
	}
	w := &watcher{s: s, cancel: cancel, done: make(chan struct{})}
	w.timer = time.AfterFunc(watchDelay, w.run)
	return w
}

// run waits until the caller sends more or disconnects. If it has disconnected, run cancels the request.
func (w *watcher) run() {
	defer close(w.done)
	disconnected := false
	err := w.s.sys.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false
		}
		disconnected = n == 0 || err != nil
		return true
	})
	if err == nil && disconnected {
		w.cancel()
	}
}

// stop ends the watcher. Afterwards the session may read from the connection again.
func (w *watcher) stop() {
	if w == nil || w.timer.Stop() {
		return
	}
	select {
	case <-w.done:
		return
	default:
	}
	if err := w.s.raw.SetReadDeadline(time.Unix(1, 0)); err != nil {
		w.s.broken = err
	}
	<-w.done
	if err := w.s.raw.SetReadDeadline(time.Time{}); err != nil {
		w.s.broken = err
	}
}
