package permit

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// The model explores the protocol of holds and permits on the decision code: VMs, the store's record of one group,
// two upstreams and VMs that promote. Messages are delivered late, twice or never, VMs are suspended (they do
// nothing while time passes), the store is cut off from any of them, and VMs that promote fail at any step.

const (
	upstreamA core.UpstreamID = "a"
	upstreamB core.UpstreamID = "b"
	modelTTL                  = 2 * time.Second
	tick                      = time.Second
	// maxModelVersions is higher than the number of records in a history.
	maxModelVersions = 16
	// maxModelVMs is the highest number of VMs in a model.
	maxModelVMs = 5
)

// defect is a part of the protocol that a model leaves out, to show that the check detects it.
type defect uint8

const (
	noDefect defect = iota
	// noHold promotes without a hold, as the code before the permits did.
	noHold
	// noWait promotes although VMs haven't acknowledged the hold and their permits last.
	noWait
	// noMajority lets permits expire although the silent VMs are a majority.
	noMajority
	// voteWithoutRecords counts votes without adopting the records that come with them.
	voteWithoutRecords
	// confirmWithoutRecords renews permits by a watch without adopting its changes.
	confirmWithoutRecords
	// acknowledgeEarly acknowledges a hold without ending the permit.
	acknowledgeEarly
	// otherTarget gives the group back to the old primary although a promotion was sent.
	otherTarget
	// ignoreEpoch accepts answers to work that started before the new leader was recorded.
	ignoreEpoch
)

// phase is how far the VM that promotes has come.
type phase uint8

const (
	idle phase = iota
	holding
	called
)

// model is one state of the system. It is a value, so that it can be copied.
type model struct {
	members int
	now     core.Instant
	vms     [maxModelVMs]vmModel
	store   groupState
	// leaders holds the recorded leader by the record's version; empty for holds and the time before the first one.
	leaders [maxModelVersions]core.UpstreamID
	// promoter is the VM that holds the group's lease, with its acknowledgments as a bit mask.
	promoter int
	phase    phase
	acked    uint8
	progress Progress
	// failures counts the VMs that failed while they promoted, releases the holds that were given up.
	failures, releases int
	// maxVersion limits the records after which another hold is written.
	maxVersion core.Version
	// sent is set once a promotion was sent, which is executed at any later time; leads is set after that.
	sent, leads bool
}

// vmModel is what a VM knows.
type vmModel struct {
	confirmedAt, votedAt core.Instant
	group                groupState
}

func newModel(members int) model {
	m := model{members: members, now: core.Instant(10 * tick), progress: Progress{TTL: modelTTL}, maxVersion: 2}
	for i := range members {
		m.vms[i].confirmedAt = m.now
	}
	return m
}

// life returns how long the VM's permits last.
func (v *vmModel) life() life {
	return life{ttl: modelTTL, confirmedAt: v.confirmedAt, votedAt: v.votedAt}
}

// adopt delivers a record to a VM.
func (m *model) adopt(vm int, g groupState) {
	v := &m.vms[vm]
	v.group = v.group.apply(m.now, v.life(), g.record, g.version)
}

// write writes a record to the store, which the promoter adopts.
func (m *model) write(r Record) {
	m.store = groupState{record: r, version: m.store.version + 1}
	m.store.epoch = m.store.version
	if !r.Held {
		m.leaders[m.store.version] = r.Target
	}
	m.adopt(m.promoter, m.store)
}

// usesOld reports whether a VM could take an answer of the old primary for valid, to work that it started at any time
// while the old one was the recorded leader.
func (m *model) usesOld(vm int, d defect) bool {
	g := m.vms[vm].group
	for started := core.Version(0); started <= g.version; started++ {
		epoch := started
		if d == ignoreEpoch {
			epoch = g.epoch
		}
		if m.leaders[started] != upstreamB && g.covers(m.now, m.vms[vm].life(), epoch) {
			return true
		}
	}
	return false
}

// violation returns the VM that uses the old primary although the other one leads, or -1.
func (m *model) violation(d defect) int {
	for vm := range m.members {
		if m.leads && m.usesOld(vm, d) {
			return vm
		}
	}
	return -1
}

// step is one possible step of the system.
type step struct {
	name string
	// vm and others are the VMs that take part, others as a bit mask.
	vm, others int
	apply      func(m *model)
}

func (s step) String() string { return fmt.Sprintf("%s (VM %d, others %b)", s.name, s.vm, s.others) }

// steps returns the steps that are possible in the state.
func (m *model) steps(d defect) []step {
	var out []step
	for vm := range m.members {
		out = append(out, m.vmSteps(vm, d)...)
	}
	out = append(out, m.promoterSteps(d)...)
	if m.sent && !m.leads {
		out = append(out, step{"promotion is executed", 0, 0, func(m *model) { m.leads = true }})
	}
	return append(out, step{"time passes", 0, 0, func(m *model) { m.now = m.now.Add(tick) }})
}

func (m *model) vmSteps(vm int, d defect) []step {
	var out []step
	if m.vms[vm].confirmedAt != m.now {
		out = append(out, step{"store confirms", vm, 0, func(m *model) {
			if d != confirmWithoutRecords {
				m.adopt(vm, m.store)
			}
			m.vms[vm].confirmedAt = m.now
		}})
	}
	for others := 0; others < 1<<m.members; others++ {
		if others&(1<<vm) != 0 || votes(others)+1 != majority(m.members) {
			continue
		}
		out = append(out, step{"vote", vm, others, func(m *model) {
			for other := range m.members {
				if others&(1<<other) != 0 && d != voteWithoutRecords {
					m.adopt(vm, m.vms[other].group)
				}
			}
			m.vms[vm].votedAt = m.now
		}})
	}
	if m.phase == holding && m.acked&(1<<vm) == 0 {
		out = append(out, step{"hold arrives", vm, 0, func(m *model) {
			m.acked |= 1 << vm
			if d == acknowledgeEarly {
				return
			}
			m.adopt(vm, m.store)
			m.vms[vm].group = m.vms[vm].group.revoke()
		}})
	}
	return out
}

func (m *model) promoterSteps(d defect) []step {
	var out []step
	switch m.phase {
	case idle:
		if m.leads || m.store.version >= m.maxVersion {
			break
		}
		out = append(out, step{"hold is written", m.promoter, 0, func(m *model) {
			m.phase, m.acked, m.progress = holding, 1<<m.promoter, Progress{TTL: modelTTL}
			if d == noHold {
				m.acked = 1<<m.members - 1
				return
			}
			m.write(Record{Held: true, Old: upstreamA, Target: upstreamB, Holder: "vm"})
			m.vms[m.promoter].group = m.vms[m.promoter].group.revoke()
		}})
	case holding:
		out = append(out, step{"tally", m.promoter, 0, func(m *model) {
			t := Tally{Members: m.members, Held: votes(int(m.acked))}
			ready := m.progress.Note(m.now, t)
			if d == noMajority && !t.CanExpire() {
				ready = m.progress.Note(m.now, Tally{Members: m.members, Held: m.members - 1})
			}
			if ready || d == noWait {
				m.phase, m.sent = called, true
			}
		}})
		if (!m.sent || d == otherTarget) && m.releases+m.failures+m.releases < 1 {
			out = append(out, step{"hold is given up", m.promoter, 0, func(m *model) {
				m.phase, m.releases = idle, m.releases+1
				m.write(Record{Target: upstreamA, Holder: "vm"})
			}})
		}
	case called:
		out = append(out, step{"leader is recorded", m.promoter, 0, func(m *model) {
			m.phase = idle
			if d != noHold {
				m.write(Record{Old: upstreamA, Target: upstreamB, Holder: "vm"})
			}
		}})
	}
	if m.phase != idle && m.failures+m.releases < 1 {
		out = append(out, step{"promoter fails", m.promoter, 0, func(m *model) {
			m.failures++
			m.phase, m.promoter = idle, (m.promoter+1)%m.members
		}})
	}
	return out
}

func votes(mask int) int {
	n := 0
	for ; mask != 0; mask &= mask - 1 {
		n++
	}
	return n
}

// key identifies the state. Instants that have no effect any more are left out.
func (m *model) key() model {
	k := *m
	for vm := range k.vms {
		v := &k.vms[vm]
		v.confirmedAt, v.votedAt = age(m.now, v.confirmedAt), age(m.now, v.votedAt)
		v.group.heldAt, v.group.closeAt = 0, max(0, v.group.closeAt-m.now)
	}
	return k
}

// age returns the instant relative to now, or 0 if a permit from then has expired.
func age(now, at core.Instant) core.Instant {
	if at == 0 || now.Sub(at) >= modelTTL {
		return 0
	}
	return at - now + core.Instant(time.Hour)
}

// explore visits all states that are reachable until the end, and returns a trace to a violation, if there is one.
func explore(start model, until core.Instant, d defect) (states int, trace []string) {
	// Only the states of one time are kept whole. The others are known by their hashes.
	type visit struct {
		parent     int32
		name       string
		vm, others int8
	}
	visits := []visit{{parent: -1}}
	seen := map[uint64]bool{start.hash(): true}
	type open struct {
		m     model
		visit int32
	}
	queue, later := []open{{m: start}}, []open(nil)
	for len(queue) > 0 {
		o := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if vm := o.m.violation(d); vm >= 0 {
			trace = append(trace, fmt.Sprintf("VM %d uses the old primary", vm))
			for j := o.visit; visits[j].parent >= 0; j = visits[j].parent {
				trace = append([]string{step{name: visits[j].name, vm: int(visits[j].vm), others: int(visits[j].others)}.String()}, trace...)
			}
			return len(visits), trace
		}
		for _, st := range o.m.steps(d) {
			next := o.m
			st.apply(&next)
			h := next.hash()
			if next.now > until || seen[h] {
				continue
			}
			seen[h] = true
			visits = append(visits, visit{o.visit, st.name, int8(st.vm), int8(st.others)})
			if to := (open{next, int32(len(visits) - 1)}); next.now == o.m.now {
				queue = append(queue, to)
			} else {
				later = append(later, to)
			}
		}
		if len(queue) == 0 {
			queue, later = later, nil
		}
	}
	return len(visits), nil
}

// hash returns a hash of the state's key. Among some millions of states, a collision is unlikely.
func (m *model) hash() uint64 {
	k := m.key()
	b := make([]byte, 0, 256)
	add := func(values ...int64) {
		for _, v := range values {
			b = binary.AppendVarint(b, v)
		}
	}
	addGroup := func(g groupState) {
		b = append(b, byte(g.version), byte(g.epoch), byte(len(g.record.Old)))
		b = append(b, g.record.Target...)
		b = strconv.AppendBool(b, g.record.Held)
		add(int64(g.closeAt))
	}
	for _, v := range k.vms[:k.members] {
		add(int64(v.confirmedAt), int64(v.votedAt))
		addGroup(v.group)
	}
	addGroup(k.store)
	add(int64(k.now), int64(k.promoter), int64(k.phase), int64(k.acked), int64(k.progress.ExpiringSince), int64(k.failures), int64(k.releases))
	b = strconv.AppendBool(strconv.AppendBool(b, k.sent), k.leads)
	return xxhash.Sum64(b)
}

// modelTicks is the length of the explored histories, of which a permit lasts two. A run with 5
// takes minutes.
var modelTicks = flag.Int("model.ticks", 3, "length of the histories that are explored completely")

// Guards against an old primary that a VM uses after another upstream has begun to lead, in all interleavings of three
// VMs.
func TestModelAllInterleavings(t *testing.T) {
	start := newModel(3)
	states, trace := explore(start, start.now.Add(time.Duration(*modelTicks)*tick), noDefect)
	t.Logf("%d states", states)
	assert.Equal(t, len(trace), 0, "%q", trace)
}

// Shows that the model detects each part of the protocol that is left out.
func TestModelDetectsDefects(t *testing.T) {
	for name, d := range map[string]defect{
		"no hold": noHold, "no wait": noWait, "votes without records": voteWithoutRecords,
		"confirmations without records": confirmWithoutRecords, "early acknowledgments": acknowledgeEarly, "no majority": noMajority,
		"hold given up after the call": otherTarget, "answers from before the record": ignoreEpoch,
	} {
		t.Run(name, func(t *testing.T) {
			start := newModel(3)
			if d == otherTarget {
				// It takes a second hold.
				start.maxVersion = 4
			}
			_, trace := explore(start, start.now.Add(3*tick), d)
			assert.Assert(t, len(trace) > 0, "not detected")
			t.Logf("%q", trace)
		})
	}
}

// Guards against the same in long random histories of up to five VMs.
func TestModelRandomHistories(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		m := newModel(2 + r.IntN(maxModelVMs-1))
		m.maxVersion = 8
		var trace []string
		for range 200 {
			steps := m.steps(noDefect)
			st := steps[r.IntN(len(steps))]
			if r.IntN(4) == 0 {
				st = steps[len(steps)-1]
			}
			st.apply(&m)
			trace = append(trace, st.String())
			assert.Equal(t, m.violation(noDefect), -1, "seed %d: %q", seed, trace)
		}
	}
}
