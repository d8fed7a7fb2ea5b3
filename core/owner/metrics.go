package owner

import "github.com/uber-go/tally/v4"

type metrics struct {
	requests, refused, redirected, unknown, retries, transactions tally.Counter
	queueTime, confirmTime                                        tally.Timer
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		requests:     s.Counter("Requests"),
		refused:      s.Counter("Refused"),
		redirected:   s.Counter("Redirected"),
		unknown:      s.Counter("UnknownOutcomes"),
		retries:      s.Counter("Retries"),
		transactions: s.Counter("Transactions"),
		queueTime:    s.Timer("QueueTime"),
		confirmTime:  s.Timer("ConfirmTime"),
	}
}
