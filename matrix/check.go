package matrix

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"snipewall/core"
)

// RecoveryLimit is how long a group with a connected majority may go without a confirmed write.
const RecoveryLimit = 16 * time.Second

// linearizabilityTimeout limits the search of the linearizability checker.
const linearizabilityTimeout = 20 * time.Second

// Check is an invariant of histories.
type Check struct {
	Name string
	Run  func(h History) error
}

// Checks returns all invariants.
func Checks() []Check {
	return []Check{
		{"AcknowledgedKept", CheckAcknowledged},
		{"NoOldPrimary", CheckOldPrimary},
		{"ReadYourWrites", CheckReadYourWrites},
		{"TermsForward", CheckTerms},
		{"Recovered", CheckRecovered},
		{"Repaired", CheckRepaired},
		{"Linearizable", CheckLinearizable},
	}
}

// CheckAll runs all invariants.
func CheckAll(h History) error {
	var failures []error
	for _, c := range Checks() {
		if err := c.Run(h); err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", c.Name, err))
		}
	}
	return errors.Join(failures...)
}

// CheckAcknowledged reports an acknowledged write that isn't in the primary's log at its position.
func CheckAcknowledged(h History) error {
	log := h.Logs[h.Primary]
	for _, op := range h.Ops {
		if !op.Write || !op.Done {
			continue
		}
		i := int(op.Position.Offset) - 1
		if i < 0 || i >= len(log) || log[i].Value != op.Value || log[i].Term != op.Position.Term {
			return fmt.Errorf("write of %d at %s is lost; %s is primary", op.Value, op.Position, h.Primary)
		}
	}
	return nil
}

// CheckOldPrimary reports an acknowledged write that started after a write of a higher term had been
// acknowledged.
func CheckOldPrimary(h History) error {
	writes := acknowledgedWrites(h)
	first := make(map[core.Term]Op)
	for _, op := range writes {
		if f, ok := first[op.Position.Term]; !ok || op.End.Before(f.End) {
			first[op.Position.Term] = op
		}
	}
	for _, op := range writes {
		for term, other := range first {
			if term > op.Position.Term && other.End.Before(op.Start) {
				return fmt.Errorf("write of %d acknowledged at %s, after one at %s", op.Value, op.Position, other.Position)
			}
		}
	}
	return nil
}

func acknowledgedWrites(h History) []Op {
	var ops []Op
	for _, op := range h.Ops {
		if op.Write && op.Done {
			ops = append(ops, op)
		}
	}
	return ops
}

// CheckReadYourWrites reports a read whose index doesn't cover a write that was acknowledged before the
// read started. It compares every read with every write, because any two operations may belong to one
// session, even on different entry VMs.
func CheckReadYourWrites(h History) error {
	writes := acknowledgedWrites(h)
	slices.SortFunc(writes, func(a, b Op) int { return a.End.Compare(b.End) })
	for _, op := range h.Ops {
		if op.Write || !op.Done {
			continue
		}
		for _, write := range writes {
			if !write.End.Before(op.Start) {
				break
			}
			if !op.Position.Covers(write.Position) {
				return fmt.Errorf("read at %s after the write at %s", op.Position, write.Position)
			}
		}
	}
	return nil
}

// CheckTerms reports a term with two primaries, and an entry VM whose term or confirmed position
// decreased.
func CheckTerms(h History) error {
	for term, ids := range h.PrimariesByTerm {
		if len(ids) > 1 {
			return fmt.Errorf("term %d has the primaries %v", term, ids)
		}
	}
	last := make(map[string]Observation)
	for _, o := range h.Observations {
		before := last[o.Site]
		if o.Term < before.Term || o.Confirmed.Less(before.Confirmed) {
			return fmt.Errorf("%s saw term %d, confirmed %s after term %d, confirmed %s",
				o.Site, o.Term, o.Confirmed, before.Term, before.Confirmed)
		}
		if o.Term == before.Term && o.Primary != before.Primary {
			return fmt.Errorf("%s saw %s and %s in term %d", o.Site, before.Primary, o.Primary, o.Term)
		}
		last[o.Site] = o
	}
	return nil
}

// CheckRecovered reports a period longer than RecoveryLimit with a connected majority and without an
// acknowledged write.
func CheckRecovered(h History) error {
	marks := []time.Time{h.End}
	for _, op := range acknowledgedWrites(h) {
		marks = append(marks, op.End)
	}
	for _, c := range h.Connected {
		if !c.Majority {
			marks = append(marks, c.At)
		}
	}
	slices.SortFunc(marks, time.Time.Compare)
	since := time.Time{}
	for i, c := range h.Connected {
		if c.Majority == (i > 0 && h.Connected[i-1].Majority) {
			continue
		}
		if !c.Majority {
			continue
		}
		since = c.At
		if gap := longestGap(marks, since, disconnectedAt(h, i)); gap > RecoveryLimit {
			return fmt.Errorf("no acknowledged write for %s with a connected majority", gap)
		}
	}
	if since.IsZero() {
		return errors.New("no majority was ever connected")
	}
	return nil
}

// disconnectedAt returns when the connected period that began at index i ended.
func disconnectedAt(h History, i int) time.Time {
	for _, c := range h.Connected[i:] {
		if !c.Majority {
			return c.At
		}
	}
	return h.End
}

// longestGap returns the longest time between adjacent marks, including start and end.
func longestGap(marks []time.Time, start, end time.Time) time.Duration {
	longest := time.Duration(0)
	last := start
	for _, m := range marks {
		if m.Before(start) || m.After(end) {
			continue
		}
		longest = max(longest, m.Sub(last))
		last = m
	}
	return max(longest, end.Sub(last))
}

// CheckRepaired reports an upstream that doesn't follow the primary at the end of the history.
func CheckRepaired(h History) error {
	primary, ok := h.States[h.Primary]
	if !ok {
		return errors.New("no primary at the end")
	}
	for id, s := range h.States {
		if id == h.Primary {
			continue
		}
		if s.Role != core.RoleReplica || s.Promised != primary.Promised || s.Log.Term != primary.Log.Term {
			return fmt.Errorf("%s is %s in term %d at %s, the primary %s is at %s",
				id, s.Role, s.Promised, s.Log, h.Primary, primary.Log)
		}
	}
	return nil
}

// input is the input of an operation for the linearizability checker.
type input struct {
	key   string
	write bool
	value int
}

// register is the checker's model of keys that each hold one value, initially 0.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(input).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, in, out any) (bool, any) {
		if op := in.(input); op.write {
			return true, op.value
		}
		return out.(int) == state.(int), state
	},
}

// CheckLinearizable reports a history whose reads and acknowledged writes are not linearizable. A write
// with an unknown outcome is included, with an open end, if a read returned its value.
func CheckLinearizable(h History) error {
	seen := make(map[int]bool)
	for _, op := range h.Ops {
		if !op.Write {
			seen[op.Value] = true
		}
	}
	var history []porcupine.Operation
	start := h.End
	for _, op := range h.Ops {
		if op.Start.Before(start) {
			start = op.Start
		}
	}
	for _, op := range h.Ops {
		end := op.End
		if !op.Done {
			if !seen[op.Value] {
				continue
			}
			end = h.End.Add(time.Hour)
		}
		history = append(history, porcupine.Operation{
			ClientId: op.Client, Input: input{op.Key, op.Write, op.Value}, Output: op.Value,
			Call: op.Start.Sub(start).Nanoseconds(), Return: end.Sub(start).Nanoseconds(),
		})
	}
	switch porcupine.CheckOperationsTimeout(register, history, linearizabilityTimeout) {
	case porcupine.Illegal:
		return errors.New("history is not linearizable")
	case porcupine.Unknown:
		return fmt.Errorf("linearizability of %d operations not decided within %s", len(history), linearizabilityTimeout)
	default:
		return nil
	}
}
