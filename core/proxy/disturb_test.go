package proxy

import (
	"errors"
	"os"
	"slices"
	"sync"
	"time"

	"snipewall/core"
)

// outage is what happens to the answer to a command after it has run.
type outage uint8

const (
	noOutage outage = iota
	// lost drops the answer, and the next ones arrive.
	lost
	// silent drops the answer and all later ones.
	silent
	// late delivers the answer after the deadline.
	late
	// cut closes the connection in place of the answer.
	cut
)

var outageNames = map[outage]string{lost: "lost", silent: "silent", late: "late", cut: "cut off"}

// expiresAfter is less than the time that an unused connection is kept.
const expiresAfter = connIdleTimeout / 2

// disturbance decides which answers are disturbed, and counts the connections that are closed although they were just used.
type disturbance struct {
	mu sync.Mutex
	// next returns the outage of a command's answer.
	next     func(c core.Command) outage
	discards int
}

// wrap puts the disturbance between a proxy and a connection.
func (d *disturbance) wrap(lc core.LineConn) core.LineConn { return &disturbedConn{LineConn: lc, d: d} }

func (d *disturbance) set(next func(c core.Command) outage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next = next
}

func (d *disturbance) discarded() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.discards
}

// disturbedConn is a connection some of whose answers are disturbed.
type disturbedConn struct {
	core.LineConn
	d *disturbance
	// outages holds those of the commands without an answer, the oldest first.
	outages []outage
	silent  bool
	closed  bool
	usedAt  time.Time
	// lateAnswer has arrived after its deadline.
	lateAnswer *core.Answer
}

func (dc *disturbedConn) Send(cmds []core.Command) error {
	dc.usedAt = time.Now()
	dc.d.mu.Lock()
	for _, c := range cmds {
		o := noOutage
		if dc.d.next != nil {
			o = dc.d.next(c)
		}
		dc.outages = append(dc.outages, o)
	}
	dc.d.mu.Unlock()
	return dc.LineConn.Send(cmds)
}

func (dc *disturbedConn) IsIdle() bool {
	return dc.LineConn.IsIdle() && !dc.silent && dc.lateAnswer == nil
}

func (dc *disturbedConn) Close() error {
	if !dc.closed && time.Since(dc.usedAt) < expiresAfter {
		dc.d.mu.Lock()
		dc.d.discards++
		dc.d.mu.Unlock()
	}
	dc.closed = true
	return dc.LineConn.Close()
}

func (dc *disturbedConn) Receive(deadline time.Time) (core.Answer, error) {
	defer func() { dc.usedAt = time.Now() }()
	if ans := dc.lateAnswer; ans != nil {
		dc.lateAnswer = nil
		return *ans, nil
	}
	for {
		if dc.silent || len(dc.outages) == 0 {
			time.Sleep(time.Until(deadline))
			return core.Answer{}, os.ErrDeadlineExceeded
		}
		ans, err := dc.LineConn.Receive(deadline)
		if err != nil {
			return ans, err
		}
		o := dc.outages[0]
		dc.outages = slices.Delete(dc.outages, 0, 1)
		switch o {
		case noOutage:
			return ans, nil
		case silent:
			dc.silent = true
		case late:
			ans.Body = slices.Clone(ans.Body)
			dc.lateAnswer = &ans
			time.Sleep(time.Until(deadline))
			return core.Answer{}, os.ErrDeadlineExceeded
		case cut:
			return core.Answer{}, errors.New("connection reset")
		}
	}
}
