package permit

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
)

const (
	// pausePrefix is the prefix of the keys of pauses in the store. The group's id, the holder's VM and its process follow.
	pausePrefix = "snipewall/pauses/"
	// recordMargin is how much longer than its pause a record lasts: a promotion is sent for up to 4 s after the record was
	// written or renewed, until the lease of the VM that promotes is no longer used.
	recordMargin = 5 * time.Second
	// recordTimeout limits the removal of records.
	recordTimeout = time.Second
)

// PauseStore is the part of the platform's store that Pauses use.
type PauseStore interface {
	core.Store
	List(ctx context.Context, prefix string) ([]core.Entry, core.Version, error)
}

// pauseRecord is a pause in the store, which ends with its lease. VMs that start later, and those that were suspended, learn
// from it what the others were told, also if the holder or all VMs have been killed meanwhile.
type pauseRecord struct {
	Group   core.GroupID
	Holder  core.VMID
	Process uint64
	// Lasts is how long the record lasts after it was written or renewed.
	Lasts time.Duration
}

func (r pauseRecord) holder() holder { return holder{r.Holder, r.Process} }

func (r pauseRecord) key() string {
	return pausePrefix + string(r.Group) + "/" + string(r.Holder) + "/" + strconv.FormatUint(r.Process, 16)
}

// ownRecord is the record of this process's pause of a group.
type ownRecord struct {
	// mu is held during calls to the store: a pause may be renewed while it ends.
	mu sync.Mutex
	// lease is empty if there is no record.
	lease   core.LeaseID
	version core.Version
}

// ownRecord returns this process's record of the group.
func (p *Pauses) ownRecord(id core.GroupID) *ownRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	rec, ok := p.records[id]
	if !ok {
		rec = &ownRecord{}
		p.records[id] = rec
	}
	return rec
}

// writeRecord writes the record of this process's pause, or renews it.
func (p *Pauses) writeRecord(ctx context.Context, id core.GroupID, lasts time.Duration) error {
	rec := p.ownRecord(id)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.lease != "" {
		if err := p.cfg.Store.KeepAlive(ctx, rec.lease); !errors.Is(err, core.ErrLeaseLost) {
			return err
		}
		rec.lease = ""
	}
	ttl := min(lengthOf(lasts)+recordMargin, maxPauseTime)
	r := pauseRecord{Group: id, Holder: p.self.vm, Process: p.self.process, Lasts: ttl}
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	lease, err := p.cfg.Store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	version, err := p.putRecord(ctx, r.key(), value, lease)
	if err != nil {
		if err := p.cfg.Store.Revoke(ctx, lease); err != nil {
			level.Info(p.cfg.Log).Log("Msg", "lease of a pause not revoked; it will expire", "Group", id, "Err", err)
		}
		return err
	}
	rec.lease, rec.version = lease, version
	return nil
}

// putRecord writes the record. It replaces one whose write got no answer.
func (p *Pauses) putRecord(ctx context.Context, key string, value []byte, lease core.LeaseID) (core.Version, error) {
	version, err := p.cfg.Store.CompareAndSwap(ctx, key, value, 0, lease)
	if !errors.Is(err, core.ErrVersionConflict) {
		return version, err
	}
	e, err := p.cfg.Store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return p.cfg.Store.CompareAndSwap(ctx, key, value, e.Version, lease)
}

// removeRecords removes the record of this process's pause. Once another upstream leads, it also removes older ones, whose holders
// have lost the lease that entitled them to promote.
func (p *Pauses) removeRecords(ctx context.Context, id core.GroupID, replaced bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	rec := p.ownRecord(id)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.lease == "" {
		return
	}
	leases := []core.LeaseID{rec.lease}
	var err error
	if replaced {
		var entries []core.Entry
		entries, _, err = p.cfg.Store.List(ctx, pausePrefix+string(id)+"/")
		records := p.decode(entries)
		for _, e := range entries {
			// The id of another group may begin with this one and a slash.
			if records[e.Key].Group == id && e.Version < rec.version && e.Lease != "" {
				leases = append(leases, e.Lease)
			}
		}
	}
	rec.lease = ""
	for _, lease := range leases {
		err = errors.Join(err, p.cfg.Store.Revoke(ctx, lease))
	}
	if err != nil {
		level.Info(p.cfg.Log).Log("Msg", "record of a pause not removed; it will expire", "Group", id, "Err", err)
	}
}
