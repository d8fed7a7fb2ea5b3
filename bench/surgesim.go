package main

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snipewall/core"
	"snipewall/core/queue"
)

const (
	// warmUp lets estimates settle before the surge begins and measurement starts.
	warmUp = 20 * time.Second
	// sweepTime is the time between two sweeps of queue.Queue.
	sweepTime = 10 * time.Millisecond
)

// simulation drives a scheduler through an event loop on virtual time, in the way in which
// queue.Queue does it on real time.
type simulation struct {
	load    workload
	surge   surge
	sched   queue.Scheduler
	start   time.Time
	end     time.Duration
	events  events
	seq     int
	now     time.Duration
	running map[*queue.Item]*job
	waiting map[*queue.Item]*job
	stats   map[core.Kind]*kindStats
	useful  time.Duration
	// asked is the service time of all requests that arrived in the window.
	asked time.Duration
}

// job is one request of the simulation.
type job struct {
	kind     workKind
	item     *queue.Item
	arrived  time.Duration
	service  time.Duration
	began    time.Duration
	measured bool
}

// kindStats counts the requests that arrived in the measured window.
type kindStats struct {
	offered, inTime, late, refused int64
	// latency and refusal hold microseconds from the arrival to the answer.
	latency, refusal *hdrhistogram.Histogram
	// txWait holds microseconds in the queue of statements in open transactions.
	txWait *hdrhistogram.Histogram
}

func newKindStats() *kindStats {
	const highest, digits = 120_000_000, 3
	return &kindStats{
		latency: hdrhistogram.New(1, highest, digits),
		refusal: hdrhistogram.New(1, highest, digits),
		txWait:  hdrhistogram.New(1, highest, digits),
	}
}

func (s *kindStats) merge(o *kindStats) {
	s.offered += o.offered
	s.inTime += o.inTime
	s.late += o.late
	s.refused += o.refused
	s.latency.Merge(o.latency)
	s.refusal.Merge(o.refusal)
	s.txWait.Merge(o.txWait)
}

// event is something that happens at a time.
type event struct {
	at   time.Duration
	seq  int
	fire func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulate runs one workload under one surge and returns the statistics by kind and the offered
// and the useful work as shares of the capacity.
func simulate(load workload, sg surge, build func(queue.Config) queue.Scheduler, window time.Duration, seed uint64) (stats map[core.Kind]*kindStats, offered, useful float64) {
	s := &simulation{
		load:    load,
		surge:   sg,
		sched:   build(queue.Config{Slots: load.slots, Policies: load}),
		start:   time.Unix(0, 0),
		end:     warmUp + window,
		running: make(map[*queue.Item]*job),
		waiting: make(map[*queue.Item]*job),
		stats:   make(map[core.Kind]*kindStats),
	}
	for i, k := range load.kinds {
		s.stats[k.Kind] = newKindStats()
		// Each kind has its own stream, so that the surge of one kind leaves the others' arrivals.
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		s.arrive(k, r, 0)
	}
	s.sweep()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.fire()
		s.dispatch()
	}
	capacity := float64(load.slots) * float64(window-sg.away)
	return s.stats, float64(s.asked) / capacity, float64(s.useful) / capacity
}

func (s *simulation) at(t time.Duration, fire func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, fire: fire})
}

func (s *simulation) clock() time.Time { return s.start.Add(s.now) }

// arrive plans the next arrival of the kind after t.
func (s *simulation) arrive(k workKind, r *rand.Rand, t time.Duration) {
	rate := k.load * float64(s.load.slots) / k.service.Seconds()
	if t >= warmUp {
		rate *= s.surge.factor(k)
	} else if s.surge.before != nil {
		rate *= s.surge.before(k)
	}
	t += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
	if t >= s.end {
		return
	}
	service := time.Duration(r.ExpFloat64() * float64(k.service))
	inTx := r.Float64() < k.inTx
	s.at(t, func() {
		s.offer(k, service, inTx)
		s.arrive(k, r, t)
	})
}

// offer puts one request in the queue.
func (s *simulation) offer(k workKind, service time.Duration, inTx bool) {
	it := &queue.Item{Kind: k.Kind, InTx: inTx, Deadline: s.clock().Add(k.Deadline)}
	j := &job{kind: k, item: it, arrived: s.now, service: service, measured: s.now >= warmUp}
	if j.measured {
		s.stats[k.Kind].offered++
		s.asked += service
	}
	if s.sched.Add(s.clock(), it) != nil {
		s.refuse(j)
		return
	}
	s.waiting[it] = j
}

func (s *simulation) refuse(j *job) {
	if !j.measured {
		return
	}
	st := s.stats[j.kind.Kind]
	st.refused++
	_ = st.refusal.RecordValue(max((s.now - j.arrived).Microseconds(), 1))
}

// dispatch refuses late requests and starts others, as queue.Queue does after each event.
func (s *simulation) dispatch() {
	for _, it := range s.sched.Expire(s.clock()) {
		s.refuse(s.waiting[it])
		delete(s.waiting, it)
	}
	for it := s.sched.Next(s.clock()); it != nil; it = s.sched.Next(s.clock()) {
		j := s.waiting[it]
		delete(s.waiting, it)
		s.running[it] = j
		j.began = s.now
		s.at(s.finishTime(j), func() { s.finish(j) })
	}
}

// finishTime is when the job ends. While the upstream is away no statement makes progress.
func (s *simulation) finishTime(j *job) time.Duration {
	away := warmUp + (s.end-warmUp)/2
	back := away + s.surge.away
	end := j.began + j.service
	switch {
	case s.surge.away == 0 || end <= away || j.began >= back:
		return end
	case j.began >= away:
		return back + j.service
	}
	return end + s.surge.away
}

func (s *simulation) finish(j *job) {
	delete(s.running, j.item)
	s.sched.Done(s.clock(), j.item, true)
	inTime := s.now-j.arrived <= j.kind.Deadline
	if inTime {
		// The useful work of the window includes the parts of statements that overlap it.
		begin, end := max(s.now-j.service, warmUp), min(s.now, s.end)
		s.useful += max(end-begin, 0)
	}
	if !j.measured {
		return
	}
	st := s.stats[j.kind.Kind]
	if inTime {
		st.inTime++
	} else {
		st.late++
	}
	_ = st.latency.RecordValue(max((s.now - j.arrived).Microseconds(), 1))
	if j.item.InTx {
		_ = st.txWait.RecordValue(max((j.began - j.arrived).Microseconds(), 1))
	}
}

// sweep lets the queue look for late requests at regular times until the simulation is over.
func (s *simulation) sweep() {
	if s.now >= s.end && len(s.waiting) == 0 {
		return
	}
	s.at(s.now+sweepTime, s.sweep)
}
