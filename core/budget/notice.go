package budget

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

// noticeInterval is the time between two log lines about the same limit.
const noticeInterval = 10 * time.Second

// NoticeConfig configures a Notice.
type NoticeConfig struct {
	// Msg describes the event in the log, and Counter counts it.
	Msg     string
	Counter tally.Counter
	Log     log.Logger
}

// Notice counts the events at a limit and logs them, at most one line in 10 s. It is safe for concurrent use; a nil
// Notice notes nothing.
type Notice struct {
	cfg NoticeConfig

	mu sync.Mutex
	// loggedAt is when the last line was logged, and count the number of events since.
	loggedAt time.Time
	count    int
}

// NewNotice returns a notice whose first event is logged at once.
func NewNotice(cfg NoticeConfig) *Notice { return &Notice{cfg: cfg} }

// Note notes one event. The pairs of keys and values describe it in the log.
func (n *Notice) Note(keyvals ...any) {
	if n == nil {
		return
	}
	n.cfg.Counter.Inc(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.count++
	if !n.loggedAt.IsZero() && time.Since(n.loggedAt) < noticeInterval {
		return
	}
	level.Warn(n.cfg.Log).Log(append([]any{"Msg", n.cfg.Msg, "Count", n.count}, keyvals...)...)
	n.loggedAt, n.count = time.Now(), 0
}
