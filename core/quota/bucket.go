package quota

import (
	"time"

	"snipewall/core"
)

const (
	// overTime is how long a VM refuses operations above its right after the keeper said that the demand is above the
	// limit.
	overTime = 1500 * time.Millisecond
	// releaseFactor and releaseFloor bound what a VM keeps of a share: a multiple of the present demand, and some
	// operations a second.
	releaseFactor = 3.0
	releaseFloor  = 0.5
	// soonTime is how long one operation may wait on a VM while the demand is above the limit. Without it, tokens
	// would be lost on VMs whose small buckets are full between two operations.
	soonTime = time.Second
	// idleTime is how long after the last operation a VM keeps its rights of an organisation.
	idleTime = 6 * time.Second
)

// bucket is the state of one organisation on a VM: its right, a token bucket for that, and the operations that wait.
type bucket struct {
	bound Bound
	right Right
	// until is when the right expires.
	until core.Instant
	// tokens is what the bucket held at refilledAt.
	tokens     float64
	refilledAt core.Instant
	demand     demand
	lastUse    core.Instant
	// over is the ratio of the organisation's demand to its limit, valid until overUntil.
	over      float64
	overUntil core.Instant
	waiting   []*waiter
	// asked is the number of waiting operations that the keeper knows of.
	asked int
}

// waiter is an operation that waits for a right.
type waiter struct {
	granted chan Verdict
}

// refill adds the tokens since the last call. An expired right is worth nothing.
func (b *bucket) refill(now core.Instant, limit Limit) {
	if now >= b.until {
		b.right, b.tokens, b.refilledAt = Right{}, 0, now
		return
	}
	gained := b.right.Rate.of(limit.Rate) * now.Sub(b.refilledAt).Seconds()
	b.tokens = min(b.tokens+max(0, gained), b.bound.capacity(b.right, limit))
	b.refilledAt = now
}

// take uses one token if there is one.
func (b *bucket) take(now core.Instant, limit Limit) bool {
	b.refill(now, limit)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// note counts an operation of a caller.
func (b *bucket) note(now core.Instant) {
	b.demand.add(now)
	b.lastUse = now
}

// serve lets waiting operations run, the first one first. tokens are operations beyond those of the bucket; what
// the waiting operations leave of them goes into the bucket.
func (b *bucket) serve(now core.Instant, limit Limit, tokens float64) {
	b.refill(now, limit)
	b.tokens += tokens
	n := 0
	for n < len(b.waiting) && b.tokens >= 1 {
		b.tokens--
		b.waiting[n].granted <- Verdict{OK: true}
		n++
	}
	b.waiting = b.waiting[n:]
	b.asked = max(0, b.asked-n)
	b.tokens = min(b.tokens, b.bound.capacity(b.right, limit))
}

// refuse ends the wait of the operations that wait while the demand is above the limit, but for one that the bucket
// can serve soon.
func (b *bucket) refuse(now core.Instant, limit Limit) {
	kept := 0
	if b.isSoon(now, limit) && len(b.waiting) > 0 {
		kept = 1
	}
	for _, w := range b.waiting[kept:] {
		w.granted <- b.refusal(now)
	}
	b.waiting, b.asked = b.waiting[:kept], kept
}

// isSoon reports whether the bucket gets a token by itself soon.
func (b *bucket) isSoon(now core.Instant, limit Limit) bool {
	b.refill(now, limit)
	rate := b.right.Rate.of(limit.Rate)
	return b.bound.capacity(b.right, limit) >= 1 && 1-b.tokens <= rate*soonTime.Seconds()
}

// nextToken returns when the bucket can serve the first waiting operation by itself.
func (b *bucket) nextToken(now core.Instant, limit Limit) (core.Instant, bool) {
	rate := b.right.Rate.of(limit.Rate)
	if len(b.waiting) == 0 || rate <= 0 || b.bound.capacity(b.right, limit) < 1 || now >= b.until {
		return 0, false
	}
	return now.Add(time.Duration(max(0, 1-b.tokens)/rate*float64(time.Second)) + time.Millisecond), true
}

// trim gives up what the callers on this VM don't need.
func (b *bucket) trim(now core.Instant, limit Limit) {
	b.refill(now, limit)
	if now.Sub(b.lastUse) > idleTime {
		b.right, b.tokens = Right{}, 0
		return
	}
	need := releaseFactor*b.demand.fast.decay(now, fastTime) + releaseFloor
	if rate := shareOf(need, limit.Rate, whole); rate < b.right.Rate {
		size := b.bound.capacity(b.right, limit)
		size = max(size*float64(rate)/float64(b.right.Rate), min(size, wantedBurst))
		b.right = Right{rate, min(b.right.Burst, shareOf(size, b.bound.pool(limit), whole))}
	}
	b.tokens = min(b.tokens, b.bound.capacity(b.right, limit))
}

// isShort reports whether the next operation would have to wait.
func (b *bucket) isShort(now core.Instant, limit Limit) bool {
	b.refill(now, limit)
	return b.tokens < 1 && (len(b.waiting) > 0 || now.Sub(b.lastUse) < idleTime)
}

// item returns what to tell the keeper, or false if there is nothing to tell.
func (b *bucket) item(now core.Instant, id core.OrganisationID, limit Limit) (AskItem, bool) {
	b.trim(now, limit)
	if b.right == (Right{}) && len(b.waiting) == 0 && now.Sub(b.lastUse) > idleTime {
		return AskItem{}, false
	}
	item := AskItem{Organisation: id, Held: b.right, Demand: milliOf(b.demand.rate(now)), Recent: milliOf(b.demand.recent.decay(now, recentTime))}
	room := max(0, b.bound.capacity(b.right, limit)-b.tokens)
	if n := float64(len(b.waiting)); n > 0 {
		item.Want = milliOf(n - b.tokens)
	}
	item.Room = milliOf(room)
	return item, true
}

// isOver reports whether operations beyond the right are refused without waiting.
func (b *bucket) isOver(now core.Instant) bool { return now < b.overUntil }

// adopt replaces the right. sentAt is when the request was sent that was answered with it.
func (b *bucket) adopt(now, sentAt core.Instant, limit Limit, a *AnswerItem) {
	b.refill(now, limit)
	b.right, b.until = a.Right, sentAt.Add(rightsLife)
	b.tokens = min(b.tokens, b.bound.capacity(b.right, limit))
	b.over, b.overUntil = a.Over.float(), 0
	if a.Over > 0 {
		b.overUntil = now.Add(overTime)
	}
}
