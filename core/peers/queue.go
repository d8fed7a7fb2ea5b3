package peers

import (
	"cmp"
	"math/bits"
	"slices"
)

// Limits of the size of a message. The unit is an update without addresses, which has about 30 bytes.
const (
	// aliveWeight is the size of an update with addresses. Only updates of live members have them.
	aliveWeight = 3
	minWeight   = 6 * aliveWeight
	// maxWeight is used while many updates are pending, as after a network partition. It limits a message
	// to 0.9 KB. An entry VM sends 4 messages per second and receives as many, which is 7 KB/s.
	maxWeight = 10 * aliveWeight
	// backlogDivisor divides the number of pending updates to get the size of a message between minWeight
	// and maxWeight.
	backlogDivisor = 2
	maxMarks       = 6
	// An update is dropped from the queue after it was sent or received a number of times: transmitFactor
	// times the binary logarithm of the number of members, at least minTransmits.
	transmitFactor = 2
	minTransmits   = 12
)

// queue holds the updates that are still to be sent. A newer update about the same subject replaces the
// older one.
type queue struct {
	updates map[string]*item[Update]
	marks   map[markKey]*item[Mark]
	// pushed is the number of pushes so far. Of items that were sent equally often, the newest goes first.
	pushed uint64
}

// item is a queued update or mark and how often it was sent.
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

// countReceived counts an update that was received from another member like one that was sent, since it
// has already spread.
func (q *queue) countReceived(u Update) {
	it := q.updates[string(u.VM.ID)]
	if it != nil && it.value.Status == u.Status && it.value.Incarnation == u.Incarnation {
		it.sent++
	}
}

func (q *queue) pushMark(m Mark) {
	q.pushed++
	q.marks[m.key()] = &item[Mark]{value: m, pushed: q.pushed}
}

// nextMessage returns the updates and marks for the next message. size is the number of members.
func (q *queue) nextMessage(size int) ([]Update, []Mark) {
	limit := max(minTransmits, transmitFactor*bits.Len(uint(size)))
	room := min(max(len(q.updates)/backlogDivisor, minWeight), maxWeight)
	return takeItems(q.updates, room, limit, weight), takeItems(q.marks, maxMarks, limit, func(Mark) int { return 1 })
}

func weight(u Update) int {
	if u.Status == StatusAlive {
		return aliveWeight
	}
	return 1
}

// takeItems returns the items that were sent least often, as many as fit into room, and removes those that
// have now been sent limit times.
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
