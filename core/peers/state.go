package peers

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipewall/core"
)

// maxFreshDeathAge is the age up to which a record of a dead member means that it failed just now. An
// older one that contradicts this member's view comes from the other side of a network partition that
// has healed.
const maxFreshDeathAge = 30 * time.Second

// reportedDeadFactor multiplies the suspicion timeout of a member that only other members declared dead, so
// that refutations have time to spread when many members are affected.
const reportedDeadFactor = 2

// maxIncarnation limits incarnations and stamps from the network, so that increments can't overflow.
const maxIncarnation = 1 << 62

// member is the record of another member.
type member struct {
	vm          core.VM
	status      Status
	incarnation uint64
	// since is when the status was adopted here.
	since time.Time
	// accused is set if an old record says that the member is dead. The member is then probed next.
	accused bool
	// reportedDead is set if the member is suspect because of another member's fresh record that it is
	// dead.
	reportedDead bool
}

// update returns the member's record as it is sent to other members.
func (m *member) update(now time.Time) Update {
	u := Update{VM: m.vm, Status: m.status, Incarnation: m.incarnation}
	if m.status != StatusAlive {
		u.VM = core.VM{ID: m.vm.ID}
	}
	if m.status == StatusDead {
		u.Age = uint32(now.Sub(m.since) / time.Second)
	}
	return u
}

func (m *member) isAlive() bool { return m.status <= StatusSuspect }

// markKey identifies a mark.
type markKey struct {
	upstream core.UpstreamID
	vm       core.VMID
	source   Source
}

func (m Mark) key() markKey { return markKey{upstream: m.Upstream, vm: m.VM, source: m.Source} }

// timedMark is a mark and the time when this member adopted it.
type timedMark struct {
	Mark
	since time.Time
}

// state is the replicated state: the records of all members and the marks. It is not safe for concurrent
// use.
type state struct {
	self        core.VM
	incarnation uint64
	left        bool
	members     map[core.VMID]*member
	marks       map[markKey]timedMark
	queue       *queue
}

func newState(self core.VM, incarnation uint64) *state {
	return &state{
		self:        self,
		incarnation: incarnation,
		members:     make(map[core.VMID]*member),
		marks:       make(map[markKey]timedMark),
		queue:       newQueue(),
	}
}

// size returns the number of members that count as alive, including this one.
func (s *state) size() int {
	n := 1
	for _, m := range s.members {
		if m.isAlive() {
			n++
		}
	}
	return n
}

// maxPrioritySuspects is the number of suspects above which they are not probed first, since so many at
// once indicate a network partition.
const maxPrioritySuspects = 4

// priorityTarget returns an accused or suspect member that must be probed first, if there is one.
func (s *state) priorityTarget() (core.VM, bool) {
	suspects := 0
	var vm core.VM
	for _, m := range s.members {
		if m.accused && m.isAlive() {
			return m.vm, true
		}
		if m.status == StatusSuspect {
			suspects++
			vm = m.vm
		}
	}
	return vm, suspects > 0 && suspects <= maxPrioritySuspects
}

// partners returns the n live members with the highest hash of this member's id and theirs (rendezvous
// hashing). The choice is different on each member and changes only with the membership.
func (s *state) partners(n int) []core.VMID {
	type scored struct {
		id    core.VMID
		score uint64
	}
	var list []scored
	for id, m := range s.members {
		if m.isAlive() {
			list = append(list, scored{id: id, score: xxhash.Sum64String(string(s.self.ID) + "\x00" + string(id))})
		}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	list = list[:min(n, len(list))]
	ids := make([]core.VMID, len(list))
	for i, m := range list {
		ids[i] = m.id
	}
	return ids
}

func (s *state) selfUpdate() Update {
	u := Update{VM: s.self, Incarnation: s.incarnation}
	if s.left {
		u.Status = StatusLeft
	}
	return u
}

// apply merges a record and reports whether it changed anything.
func (s *state) apply(u Update, now time.Time) bool {
	if u.VM.ID == "" || u.Status > StatusLeft || u.Incarnation > maxIncarnation {
		return false
	}
	if u.VM.ID == s.self.ID {
		return s.refute(u)
	}
	m := s.members[u.VM.ID]
	if m == nil {
		return s.add(u, now)
	}
	if u.Incarnation < m.incarnation || (u.Incarnation == m.incarnation && u.Status <= m.status) {
		s.queue.countReceived(u)
		return false
	}
	if u.Status == StatusDead && m.status == StatusAlive {
		return s.handleDeathReport(m, u, now)
	}
	if u.Status == StatusAlive {
		m.vm = u.VM
	}
	s.set(m, u.Status, u.Incarnation, now)
	if u.Status == StatusDead {
		m.since = now.Add(-time.Duration(u.Age) * time.Second)
	}
	return true
}

// refute increments this member's incarnation if a record of it is wrong or comes from an earlier process
// with the same id. It reports whether it did.
func (s *state) refute(u Update) bool {
	own := s.selfUpdate()
	isOld := u.Incarnation < own.Incarnation
	isSame := u.Incarnation == own.Incarnation && u.Status == own.Status
	if isOld || isSame || (u.Incarnation == own.Incarnation && s.left) {
		return false
	}
	s.incarnation = u.Incarnation + 1
	s.queue.push(s.selfUpdate())
	return true
}

// add adds a new member if it is alive. Records of other members have no address.
func (s *state) add(u Update, now time.Time) bool {
	if u.Status != StatusAlive || u.VM.Control == "" {
		return false
	}
	s.members[u.VM.ID] = &member{vm: u.VM, incarnation: u.Incarnation, since: now}
	s.queue.push(u)
	return true
}

// handleDeathReport handles a record of the death of a member that is alive in this state. A fresh record
// makes it suspect. An old record comes from the other side of a network partition: the
// member stays alive and is probed soon, and the record is passed on until the member refutes it.
func (s *state) handleDeathReport(m *member, u Update, now time.Time) bool {
	if time.Duration(u.Age)*time.Second <= maxFreshDeathAge {
		s.set(m, StatusSuspect, u.Incarnation, now)
		m.reportedDead = true
		return true
	}
	if m.accused {
		return false
	}
	m.accused = true
	s.queue.push(Update{VM: core.VM{ID: m.vm.ID}, Status: StatusDead, Incarnation: u.Incarnation, Age: u.Age})
	return true
}

func (s *state) set(m *member, status Status, incarnation uint64, now time.Time) {
	if m.status != status || m.incarnation != incarnation {
		m.since = now
	}
	m.status, m.incarnation, m.accused, m.reportedDead = status, incarnation, false, false
	s.queue.push(m.update(now))
}

// confirmAlive handles a record that was received from the member itself. It ends a suspicion that the
// member has not refuted yet.
func (s *state) confirmAlive(u Update, now time.Time) bool {
	m := s.members[u.VM.ID]
	if m == nil || u.Status != StatusAlive || u.Incarnation < m.incarnation || m.status == StatusLeft {
		return false
	}
	m.accused = false
	if m.status == StatusAlive {
		return false
	}
	m.status, m.since = StatusAlive, now
	// The member learns of the suspicion from other pings and refutes it itself.
	delete(s.queue.updates, string(u.VM.ID))
	return true
}

// markSuspect makes a member suspect that didn't answer, and reports whether it was alive.
func (s *state) markSuspect(id core.VMID, now time.Time) bool {
	m := s.members[id]
	if m == nil || m.status != StatusAlive {
		return false
	}
	s.set(m, StatusSuspect, m.incarnation, now)
	return true
}

// expireSuspects declares members dead that have been suspect for the limit, and returns their ids.
func (s *state) expireSuspects(now time.Time, limit time.Duration) []core.VMID {
	var dead []core.VMID
	for id, m := range s.members {
		wait := limit
		if m.reportedDead {
			wait *= reportedDeadFactor
		}
		if m.status == StatusSuspect && now.Sub(m.since) >= wait {
			s.set(m, StatusDead, m.incarnation, now)
			dead = append(dead, id)
		}
	}
	return dead
}

// forget removes records of members that have been dead or left since before the time, and marks that were
// withdrawn or whose VM is unknown since before the time.
func (s *state) forget(before time.Time) {
	for id, m := range s.members {
		if !m.isAlive() && m.since.Before(before) {
			delete(s.members, id)
		}
	}
	for key, m := range s.marks {
		_, known := s.members[key.vm]
		isGone := key.vm != "" && key.vm != s.self.ID && !known
		if (isGone || !m.Leaving) && m.since.Before(before) {
			delete(s.marks, key)
		}
	}
}

// markLeft marks this member as left. It returns false if it was already.
func (s *state) markLeft() bool {
	if s.left {
		return false
	}
	s.left = true
	s.queue.push(s.selfUpdate())
	return true
}

// setMark sets a mark with the next stamp and reports whether that changed anything.
func (s *state) setMark(m Mark) bool {
	old, known := s.marks[m.key()]
	if old.Leaving == m.Leaving {
		return false
	}
	m.Stamp = 1
	if known {
		m.Stamp = old.Stamp + 1
	}
	return s.applyMark(m, time.Now())
}

// applyMark merges a mark and reports whether it changed anything.
func (s *state) applyMark(m Mark, now time.Time) bool {
	if (m.Upstream == "") == (m.VM == "") || m.Source > SourcePlatform || m.Stamp > maxIncarnation {
		return false
	}
	old := s.marks[m.key()]
	if m.Stamp < old.Stamp || (m.Stamp == old.Stamp && (old.Leaving || !m.Leaving)) {
		return false
	}
	s.marks[m.key()] = timedMark{Mark: m, since: now}
	s.queue.pushMark(m)
	return true
}

// digest returns a hash of the state that two members should have in common: the live members with their
// incarnations, and the marks of what is leaving.
func (s *state) digest() uint64 {
	var sum uint64
	add := func(kind byte, id string, n uint64) {
		b := append(binary.BigEndian.AppendUint64([]byte{kind}, n), id...)
		// A sum doesn't depend on the order of the maps.
		sum += xxhash.Sum64(b)
	}
	if !s.left {
		add('m', string(s.self.ID), s.incarnation)
	}
	for id, m := range s.members {
		if m.isAlive() {
			add('m', string(id), m.incarnation)
		}
	}
	for key, m := range s.marks {
		if m.Leaving {
			add('k'+byte(key.source), string(key.upstream)+"\x00"+string(key.vm), m.Stamp)
		}
	}
	return sum
}

// fullState returns the records of all other members, sorted by id, and all marks.
func (s *state) fullState(now time.Time) ([]Update, []Mark) {
	updates := make([]Update, 0, len(s.members))
	for _, m := range s.members {
		updates = append(updates, m.update(now))
	}
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	marks := make([]Mark, 0, len(s.marks))
	for _, m := range s.marks {
		marks = append(marks, m.Mark)
	}
	return updates, marks
}

// nextMessage returns the updates and marks for the next message, with the current ages of dead members.
func (s *state) nextMessage(now time.Time) ([]Update, []Mark) {
	updates, marks := s.queue.nextMessage(s.size())
	for i, u := range updates {
		if m := s.members[u.VM.ID]; m != nil && u.Status == StatusDead && m.status == StatusDead {
			updates[i] = m.update(now)
		}
	}
	return updates, marks
}

// missingFrom returns the records and marks that the sender of the given full state lacks.
func (s *state) missingFrom(from Gossip, now time.Time) ([]Update, []Mark) {
	theirs := make(map[core.VMID]Update, len(from.Updates)+1)
	for _, u := range from.Updates {
		theirs[u.VM.ID] = u
	}
	theirs[from.Self.VM.ID] = from.Self
	updates, marks := s.fullState(now)
	updates = slices.DeleteFunc(updates, func(u Update) bool {
		t, ok := theirs[u.VM.ID]
		if !ok {
			return u.Status != StatusAlive
		}
		return t.Incarnation > u.Incarnation || (t.Incarnation == u.Incarnation && t.Status >= u.Status)
	})
	known := make(map[markKey]Mark, len(from.Marks))
	for _, m := range from.Marks {
		known[m.key()] = m
	}
	marks = slices.DeleteFunc(marks, func(m Mark) bool { return known[m.key()].Stamp >= m.Stamp })
	return updates, marks
}

// view is the immutable state behind the methods of core.Members.
type view struct {
	generation uint64
	alive      []core.VM
	leaving    map[core.UpstreamID]bool
}

// publishView publishes a new view if the state has changed it. The caller holds mu.
func (p *Peers) publishView() {
	old := p.view.Load()
	next := p.state.view()
	if slices.Equal(old.alive, next.alive) && maps.Equal(old.leaving, next.leaving) {
		return
	}
	next.generation = old.generation + 1
	p.view.Store(next)
}

func (s *state) view() *view {
	v := &view{leaving: make(map[core.UpstreamID]bool)}
	vms := make(map[core.VMID]bool)
	for key, m := range s.marks {
		if !m.Leaving {
			continue
		}
		if key.vm != "" {
			vms[key.vm] = true
			continue
		}
		v.leaving[key.upstream] = true
	}
	add := func(vm core.VM) {
		vm.Leaving = vm.Leaving || vms[vm.ID]
		v.alive = append(v.alive, vm)
	}
	if !s.left {
		add(s.self)
	}
	for _, m := range s.members {
		if m.isAlive() {
			add(m.vm)
		}
	}
	slices.SortFunc(v.alive, func(a, b core.VM) int { return cmp.Compare(a.ID, b.ID) })
	return v
}
