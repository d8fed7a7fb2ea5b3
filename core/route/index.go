package route

import (
	"context"
	"time"

	"snipewall/core"
)

// indexTime limits the question for a session's index. Without an answer the read asks for the read
// index of the whole log, which is as safe but makes replicas wait.
const indexTime = 250 * time.Millisecond

// resolveIndex replaces the need for a read index by the position that the owner of the primary
// knows the session to need.
func (t *trial) resolveIndex(ctx context.Context) {
	if !t.req.NeedIndex || t.req.AcceptedAge == 0 || t.req.Class != core.ClassRead && t.req.Class != core.ClassBeginRead {
		return
	}
	info, ok := t.choosePrimary()
	if !ok {
		return
	}
	indexer, ok := t.indexer(info)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, indexTime)
	defer cancel()
	position, err := indexer.SessionIndex(ctx, t.req.Session)
	if err != nil {
		return
	}
	t.req.Position = t.req.Position.Max(position)
	t.req.NeedIndex = false
}

// indexer returns the owner of the primary, here or on another entry VM.
func (t *trial) indexer(info core.UpstreamInfo) (core.SessionIndexer, bool) {
	vms := t.router.cfg.Owners(info)
	if len(vms) == 0 || t.router.isPenalized(vms[0].ID) {
		return nil, false
	}
	var exec core.Executor
	if vms[0].ID == t.router.cfg.Members.Self().ID {
		exec, _ = t.router.cfg.Local(info.ID)
	} else {
		exec = t.router.cfg.Remote(vms[0], info.ID)
	}
	indexer, ok := exec.(core.SessionIndexer)
	return indexer, ok
}
