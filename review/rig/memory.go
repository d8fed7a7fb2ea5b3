package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimit is memoryMb of the settings, in kB.
	memoryLimit = 284 * 1024
	// maxEnds is the number of ends of one VM's processes in a day that the rule names.
	maxEnds = 3
	// restartDelay is the time until the platform restarts a process.
	restartDelay = time.Second
	// openSessions is the number of sessions on each VM, and rowBytes the size of one row: a message has 1 MiB at most.
	openSessions = 146
	rowBytes     = 1_000_000
	// largeRows is the number of rows of a large answer.
	largeRows = 3
	// memoryCaseTime limits the case.
	memoryCaseTime = 80 * time.Second
)

// playMemory lets idle sessions read one answer of several large rows each. A VM's process is killed while it has more
// memory than its limit, as the platform does, and starts again.
func playMemory(ctx context.Context, e *env) error {
	cfg := syncGroup()
	cfg.syncReplicas = 0
	g, _, err := e.startGroup(ctx, cfg)
	if err != nil {
		return err
	}
	rows := strings.Repeat("ROW "+strings.Repeat("x", rowBytes)+"\r\n", largeRows)
	g.mu.Lock()
	g.rows = func(_ *upstream, item string) string {
		if e.trouble && strings.HasPrefix(item, "report") {
			return rows
		}
		return "ROW " + item + "\r\n"
	}
	g.mu.Unlock()
	if err := e.startVMs(ctx, 2); err != nil {
		return err
	}
	calling, stop := context.WithTimeout(ctx, memoryCaseTime)
	defer stop()
	ends := make([]int, len(e.fleet.vms))
	var answered, cut atomic.Int32
	var wg, limiting sync.WaitGroup
	for i, vm := range e.fleet.vms {
		limiting.Go(func() { ends[i] = e.limitMemory(calling, vm) })
		for j := range openSessions {
			wg.Go(func() { e.keepSession(calling, vm, fmt.Sprintf("s%d-%d", i, j), &answered, &cut) })
		}
	}
	limiting.Wait()
	stop()
	wg.Wait()
	e.rec.tell("%d reads answered, %d sessions cut by the end of a process", answered.Load(), cut.Load())
	broken := 0
	for i, n := range ends {
		e.rec.tell("%s: ended %d times over its memory limit", e.fleet.vms[i].name, n)
		if n >= maxEnds {
			broken++
		}
	}
	if answered.Load() == 0 {
		return fmt.Errorf("no read was answered")
	}
	if broken >= 2 {
		return fmt.Errorf("fault: processes of %d of %d machines ended %d times over their memory limit: %w", broken, len(ends), maxEnds, errBroken)
	}
	return nil
}

// limitMemory kills the VM's process when it exceeds its memory limit, and starts it again. It returns how often, and
// stops after maxEnds times.
func (e *env) limitMemory(ctx context.Context, vm *entryVM) int {
	ends, most := 0, 0
	for ends < maxEnds && pause(ctx, 50*time.Millisecond) {
		used, err := anonymousMemory(vm.cmd.Process.Pid)
		if err != nil {
			continue
		}
		most = max(most, used)
		if used <= memoryLimit {
			continue
		}
		e.rec.tell("%s has %d kB, more than its limit of %d kB: it is killed", vm.name, used, memoryLimit)
		_ = vm.cmd.Process.Signal(syscall.SIGKILL)
		<-vm.ended
		ends++
		if ends < maxEnds && pause(ctx, restartDelay) {
			if err := e.fleet.run(vm); err != nil {
				e.rec.tell("%s doesn't start: %v", vm.name, err)
				return ends
			}
		}
	}
	e.rec.tell("%s had %d kB at most", vm.name, most)
	return ends
}

// anonymousMemory returns the anonymous resident memory of a process in kB. Mapped files, such as the program, don't count.
func anonymousMemory(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			return strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return 0, fmt.Errorf("process %d has ended", pid)
}

// keepSession keeps a session open that reads a report once and is mostly idle then.
func (e *env) keepSession(ctx context.Context, vm *entryVM, name string, answered, cut *atomic.Int32) {
	for ctx.Err() == nil {
		c, err := connect(ctx, vm.callers, "seals-quote", name, e.rec)
		if err != nil {
			pause(ctx, time.Second)
			continue
		}
		item, reading := "report"+name, true
		for reading && ctx.Err() == nil {
			_, r, err := c.queryQuietly("READ " + item)
			switch {
			case err != nil:
				if ctx.Err() == nil {
					cut.Add(1)
				}
				reading = false
			case r.code != "":
				pause(ctx, 200*time.Millisecond)
			default:
				answered.Add(1)
				item = name
				pause(ctx, 5*time.Second)
			}
		}
		c.close()
	}
}
