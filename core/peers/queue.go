package peers

import (
	"cmp"
	"math/bits"
	"slices"
)

// Limits of what one message carries. The unit is an update without an address, of about 30 bytes.
const (
	// aliveWeight is the size of an update with addresses.
	aliveWeight = 3
	minWeight   = 6 * aliveWeight
	// maxWeight is used while many updates wait, as after a cut. It keeps a message at 0.9 KB. An entry
	// VM sends and receives 4 messages a second each, so that this is 7 KB/s.
	maxWeight = 10 * aliveWeight
	// backlogShare is the part of the waiting updates that one message may carry.
	backlogShare = 2
	maxMarks     = 6
	// sendFactor times the logarithm of the fleet is how often an update is sent or heard again.
	sendFactor = 2
	minSends   = 12
)

// queue holds the updates that are still to be sent. A newer update about the same subject replaces
// the older one.
type queue struct {
	updates map[string]*item[Update]
	marks   map[markKey]*item[Mark]
	// pushed orders items of the same count, the newest first.
	pushed uint64
}

// item is something to send and how often it was sent.
type item[T any] struct {
	value  T
	sent   int
	pushed uint64
}

func newQueue() *queue {
	return &queue{updates: make(map[string]*item[Update]), marks: make(map[markKey]*item[Mark])}
}

func (q *queue) push(u Update) {
	q.pushed++
	q.updates[string(u.VM.ID)] = &item[Update]{value: u, pushed: q.pushed}
}

// heard counts an update that another member sent as well, since its spread needs less help.
func (q *queue) heard(u Update) {
	it := q.updates[string(u.VM.ID)]
	if it != nil && it.value.Status == u.Status && it.value.Incarnation == u.Incarnation {
		it.sent++
	}
}

func (q *queue) pushMark(m Mark) {
	q.pushed++
	q.marks[m.key()] = &item[Mark]{value: m, pushed: q.pushed}
}

// take returns what the next message to a fleet of the size carries.
func (q *queue) take(size int) ([]Update, []Mark) {
	limit := max(minSends, sendFactor*bits.Len(uint(size)))
	room := min(max(len(q.updates)/backlogShare, minWeight), maxWeight)
	return takeItems(q.updates, room, limit, weight), takeItems(q.marks, maxMarks, limit, func(Mark) int { return 1 })
}

func weight(u Update) int {
	if u.Status == StatusAlive {
		return aliveWeight
	}
	return 1
}

// takeItems picks the items that were sent least, as many as there is room for, and drops those that
// were sent often enough.
func takeItems[K comparable, T any](items map[K]*item[T], room, limit int, weight func(T) int) []T {
	if len(items) == 0 {
		return nil
	}
	type keyed struct {
		key K
		*item[T]
	}
	list := make([]keyed, 0, len(items))
	for key, it := range items {
		list = append(list, keyed{key: key, item: it})
	}
	slices.SortFunc(list, func(a, b keyed) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.pushed, a.pushed))
	})
	var values []T
	for _, it := range list {
		if room -= weight(it.value); room < 0 {
			break
		}
		values = append(values, it.value)
		it.sent++
		if it.sent >= limit {
			delete(items, it.key)
		}
	}
	return values
}
