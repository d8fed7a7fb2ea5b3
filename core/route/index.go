package route

import (
	"context"
	"time"

	"snipewall/core"
)

// sessionIndexTimeout limits the query for a session's index. Without an answer the read uses the read
// index of the whole log, which is just as safe but may make a replica wait.
const sessionIndexTimeout = 250 * time.Millisecond

// resolveIndex replaces the required read index with the position that the session needs, according to
// the owner of the primary.
func (e *execution) resolveIndex(ctx context.Context) {
	if !e.req.NeedIndex || e.req.AcceptedAge == 0 || e.req.Class != core.ClassRead && e.req.Class != core.ClassBeginRead {
		return
	}
	info, ok := e.choosePrimary()
	if !ok {
		return
	}
	indexer, ok := e.indexer(info)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sessionIndexTimeout)
	defer cancel()
	position, err := indexer.SessionIndex(ctx, e.req.Session)
	if err != nil {
		return
	}
	e.req.Position = e.req.Position.Max(position)
	e.req.NeedIndex = false
}

// indexer returns the owner of the primary, on this or another entry VM.
func (e *execution) indexer(info core.UpstreamInfo) (core.SessionIndexer, bool) {
	vms := e.router.cfg.Owners(info)
	if len(vms) == 0 || e.router.isPenalized(vms[0].ID) {
		return nil, false
	}
	var exec core.Executor
	if vms[0].ID == e.router.cfg.Members.Self().ID {
		exec, _ = e.router.cfg.Local(info.ID)
	} else {
		exec = e.router.cfg.Remote(vms[0], info.ID)
	}
	indexer, ok := exec.(core.SessionIndexer)
	return indexer, ok
}
