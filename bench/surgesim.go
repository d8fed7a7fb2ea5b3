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
	// warmUp is the simulated time before the surge and the measurement start, in which the scheduler's
	// estimates converge.
	warmUp = 20 * time.Second
	// sweepInterval is the interval at which expired requests are removed, as in queue.Queue.
	sweepInterval = 10 * time.Millisecond
)

// simulation drives a scheduler in an event loop on virtual time, as queue.Queue does in real time.
type simulation struct {
	load       workload
	surge      surge
	sched      queue.Scheduler
	start      time.Time
	end        time.Duration
	events     events
	seq        int
	now        time.Duration
	running    map[*queue.Item]*job
	waiting    map[*queue.Item]*job
	stats      map[core.Kind]*kindStats
	usefulWork time.Duration
	// offeredWork is the total service time of the requests that arrived in the window.
	offeredWork time.Duration
}

// job is a simulated request.
type job struct {
	kind      workKind
	item      *queue.Item
	arrivedAt time.Duration
	service   time.Duration
	startedAt time.Duration
	measured  bool
}

// kindStats holds the results of a kind's requests that arrived in the measured window.
type kindStats struct {
	offered, inTime, late, refused int64
	// latency and refusal hold the times from the arrival to the answer or the refusal in microseconds.
	latency, refusal *hdrhistogram.Histogram
	// txWait holds the queueing times of statements in open transactions in microseconds.
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

// event is a function to run at a time. seq keeps the order of events at the same time.
type event struct {
	at  time.Duration
	seq int
	run func()
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

// simulate runs a workload under a surge. It returns the statistics by kind, and the offered and the useful
// work as fractions of the capacity.
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
		// Each kind has its own random stream, so that a surge of one kind doesn't change the arrivals
		// of the others.
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		s.scheduleArrival(k, r, 0)
	}
	s.sweep()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
		s.dispatch()
	}
	capacity := float64(load.slots) * float64(window-sg.outage)
	return s.stats, float64(s.offeredWork) / capacity, float64(s.usefulWork) / capacity
}

func (s *simulation) schedule(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, run: run})
}

func (s *simulation) clock() time.Time { return s.start.Add(s.now) }

// scheduleArrival schedules the next arrival of the kind after t.
func (s *simulation) scheduleArrival(k workKind, r *rand.Rand, t time.Duration) {
	rate := k.load * float64(s.load.slots) / k.service.Seconds()
	if t >= warmUp {
		rate *= s.surge.factor(k)
	} else if s.surge.warmUpFactor != nil {
		rate *= s.surge.warmUpFactor(k)
	}
	t += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
	if t >= s.end {
		return
	}
	service := time.Duration(r.ExpFloat64() * float64(k.service))
	inTx := r.Float64() < k.inTx
	s.schedule(t, func() {
		s.offer(k, service, inTx)
		s.scheduleArrival(k, r, t)
	})
}

// offer adds a request to the scheduler, which may refuse it.
func (s *simulation) offer(k workKind, service time.Duration, inTx bool) {
	it := &queue.Item{Kind: k.Kind, InTx: inTx, Deadline: s.clock().Add(k.Deadline)}
	j := &job{kind: k, item: it, arrivedAt: s.now, service: service, measured: s.now >= warmUp}
	if j.measured {
		s.stats[k.Kind].offered++
		s.offeredWork += service
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
	_ = st.refusal.RecordValue(max((s.now - j.arrivedAt).Microseconds(), 1))
}

// dispatch refuses expired requests and starts waiting ones, as queue.Queue does after each event.
func (s *simulation) dispatch() {
	for _, it := range s.sched.Expire(s.clock()) {
		s.refuse(s.waiting[it])
		delete(s.waiting, it)
	}
	for it := s.sched.Next(s.clock()); it != nil; it = s.sched.Next(s.clock()) {
		j := s.waiting[it]
		delete(s.waiting, it)
		s.running[it] = j
		j.startedAt = s.now
		s.schedule(s.finishTime(j), func() { s.finish(j) })
	}
}

// finishTime returns the time at which the job ends. During the outage no statement makes progress.
func (s *simulation) finishTime(j *job) time.Duration {
	outageStart := warmUp + (s.end-warmUp)/2
	outageEnd := outageStart + s.surge.outage
	end := j.startedAt + j.service
	switch {
	case s.surge.outage == 0 || end <= outageStart || j.startedAt >= outageEnd:
		return end
	case j.startedAt >= outageStart:
		return outageEnd + j.service
	}
	return end + s.surge.outage
}

func (s *simulation) finish(j *job) {
	delete(s.running, j.item)
	s.sched.Done(s.clock(), j.item, true)
	inTime := s.now-j.arrivedAt <= j.kind.Deadline
	if inTime {
		// Of a statement that is executed partly in the window, only that part counts.
		begin, end := max(s.now-j.service, warmUp), min(s.now, s.end)
		s.usefulWork += max(end-begin, 0)
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
	_ = st.latency.RecordValue(max((s.now - j.arrivedAt).Microseconds(), 1))
	if j.item.InTx {
		_ = st.txWait.RecordValue(max((j.startedAt - j.arrivedAt).Microseconds(), 1))
	}
}

// sweep triggers dispatch at sweepInterval until the simulation is over.
func (s *simulation) sweep() {
	if s.now >= s.end && len(s.waiting) == 0 {
		return
	}
	s.schedule(s.now+sweepInterval, s.sweep)
}
