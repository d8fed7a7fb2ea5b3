package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout ends a case that hangs. The limit of a script is 120 s.
const caseTimeout = 100 * time.Second

// cases maps names to what plays them.
var cases = map[string]func(*run){
	"large-answer":   playLargeAnswer,
	"refused-set-up": playRefusedSetUp,
	"relay-memory":   playRelayMemory,
	"lost-answer":    playLostAnswer,
	"slow-promotion": playSlowPromotion,
}

// run is one play of a case.
type run struct {
	// trouble is set unless the disruption is left out.
	trouble bool
	began   time.Time
	// dir is a temporary folder for settings and logs.
	dir string

	mu      sync.Mutex
	record  *os.File
	broken  []string
	entries []*entryVM
}

// failure is the panic of a case that can't run.
type failure struct{ text string }

// fatalf ends the case: it couldn't run.
func (r *run) fatalf(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

// notef writes a line of the record.
func (r *run) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breakf records that a rule was broken.
func (r *run) breakf(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.notef("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// play plays the case and returns the exit code.
func (r *run) play(fn func(*run)) (code int) {
	defer func() {
		r.stopEntries()
		switch f, ok := recover().(failure); {
		case ok:
			r.notef("the case could not run: %s", f.text)
			fmt.Println("could not run:", f.text)
			code = exitFailed
		case len(r.broken) > 0:
			r.notef("result: broken %d times", len(r.broken))
			fmt.Printf("broken %d times, first: %s\n", len(r.broken), r.broken[0])
			code = exitBroken
		default:
			r.notef("result: held")
			fmt.Println("held")
			code = exitHeld
		}
	}()
	fn(r)
	return exitHeld
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE DIRECTORY")
		os.Exit(exitFailed)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	// REVIEW_LOGS names a folder in which the settings and logs of the processes are kept.
	dir, err := os.MkdirTemp(os.Getenv("REVIEW_LOGS"), "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), dir: dir, record: record}
	r.notef("case %s, trouble %v", os.Args[1], r.trouble)
	watchdog := time.AfterFunc(caseTimeout, func() {
		r.stopEntries()
		fmt.Println("could not run: time is up")
		os.Exit(exitFailed)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		r.stopEntries()
		os.Exit(exitFailed)
	}()
	code := r.play(cases[os.Args[1]])
	watchdog.Stop()
	_ = record.Close()
	if os.Getenv("REVIEW_LOGS") == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}
