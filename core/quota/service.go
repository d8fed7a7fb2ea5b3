package quota

// Service serves calls of other VMs over RPC.
type Service struct{ l *Limiter }

// Service returns the RPC service, which must be registered as "Quota".
func (l *Limiter) Service() *Service { return &Service{l} }

// Ask returns rights if this VM is the keeper of the request's term.
func (s *Service) Ask(req *AskRequest, out *AskAnswer) error {
	*out = s.l.serveAsk(req)
	return nil
}

// Report returns the rights of this VM to a keeper.
func (s *Service) Report(req *ReportRequest, out *ReportAnswer) error {
	*out = s.l.serveReport(req)
	return nil
}

// serveAsk answers as the keeper, or names the keeper.
func (l *Limiter) serveAsk(q *AskRequest) AskAnswer {
	if a, ok := l.keeper.ask(q); ok {
		return a
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := &l.contact; c.heardAt != 0 && l.cfg.Now().Sub(c.heardAt) < hintAge {
		return AskAnswer{Keeper: l.rights.term}
	}
	return AskAnswer{}
}

// serveReport answers a keeper that begins its term.
func (l *Limiter) serveReport(q *ReportRequest) ReportAnswer {
	// Another VM got the lease, so that this one must not assign rights any more.
	l.keeper.yield(q.Term)
	_, enlisted := l.cfg.Members.EnlistedAt()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	a := l.rights.report(now, q.Term, enlisted)
	if a.OK {
		l.contact.hear(now)
		l.contact.isSettling = true
	}
	return a
}
