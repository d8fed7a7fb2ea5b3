package proxy

import (
	"time"

	"github.com/go-kit/log/level"
)

// logDecision logs one decision about a request or a belief.
func (p *Proxy) logDecision(msg string, keyvals ...any) {
	level.Info(p.cfg.Log).Log(append([]any{"Msg", msg}, keyvals...)...)
}

// logFault logs the end of a statement that failed, with what decided it.
func (p *Proxy) logFault(s *Session, st *Statement, r Reply, took time.Duration) {
	level.Info(p.cfg.Log).Log("Msg", "statement failed", "Request", st.ID, "Database", s.database, "Verb", st.Verb,
		"Fault", r.Fault.String(), "Reason", r.Text, "TookMs", took.Milliseconds(), "Table", p.cfg.Directory.Snapshot().Config.Version)
}
