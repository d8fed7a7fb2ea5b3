package proxy

import (
	"time"

	"github.com/go-kit/log/level"
)

// logDecision logs a decision about a request or a change in what is known of another node.
func (p *Proxy) logDecision(msg string, keyvals ...any) {
	level.Info(p.cfg.Log).Log(append([]any{"Msg", msg}, keyvals...)...)
}

// logFault logs a failed statement with its fault and the table version that was in force.
func (p *Proxy) logFault(s *Session, st *Statement, r Reply, took time.Duration) {
	level.Info(p.cfg.Log).Log("Msg", "statement failed", "Request", st.ID, "Database", s.database, "Verb", st.Verb,
		"Fault", r.Fault.String(), "Reason", r.Text, "TookMs", took.Milliseconds(), "Table", p.cfg.Directory.Snapshot().Config.Version)
}
