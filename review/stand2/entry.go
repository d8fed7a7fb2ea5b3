package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The program and the template, as deploy/system.toml names them.
const (
	program  = "target/snipewall"
	template = "deploy/entry.ini"
)

// Ports of an entry VM. Each VM has its own loopback address.
const (
	frontPort = 8784
	readyPort = 8785
)

// memoryMB is the memory of an entry VM of gbpc-shore. The platform ends a process that exceeds it.
const memoryMB = 284

// startTimeout limits the start of a process until it is ready.
const startTimeout = 15 * time.Second

// zones are those of gbpc-shore and gbpc-shore-grown, with their regions.
var zones = map[string]string{
	"galveston": "gulf-west", "mobile-bay": "gulf-east", "charleston": "atlantic-se",
	"lake-charles": "gulf-west", "pensacola": "gulf-east", "savannah": "atlantic-se",
}

// entryVM is an entry VM, run as a process of the real program.
type entryVM struct {
	r        *run
	name, ip string
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// vmAddress returns an unused loopback address for the VM with the number.
func (r *run) vmAddress(n int) string {
	for try := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, (os.Getpid()/200+try)%250, 10+n)
		if isFree(ip, frontPort) && isFree(ip, readyPort) && isFree(ip, 9464) && isFree(ip, 7440) && isFree(ip, 7455) {
			return ip
		}
	}
	r.fatalf("no free address")
	return ""
}

func isFree(ip string, port int) bool {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port))) //nolint:noctx // closed at once
	if err != nil {
		return false
	}
	return ln.Close() == nil
}

// startEntries starts n entry VMs in the zones, in turn, and waits until they are ready.
func (r *run) startEntries(n int, names []string, p *platform) []*entryVM {
	for i := range n {
		zone := names[i%len(names)]
		vm := &entryVM{r: r, name: fmt.Sprintf("edge-%s-%d", zone, 1+i/len(names)), ip: r.vmAddress(i + 1)}
		vm.settings = filepath.Join(r.dir, vm.name+".ini")
		data, err := os.ReadFile(template)
		if err != nil {
			r.fatalf("%v", err)
		}
		text := renderTemplate(string(data), vm.fields(zone, p.address))
		if err := os.WriteFile(vm.settings, []byte(text), 0o600); err != nil {
			r.fatalf("%v", err)
		}
		r.entries = append(r.entries, vm)
		vm.start()
	}
	for _, vm := range r.entries {
		vm.awaitReady()
	}
	return r.entries
}

// fields are those of the settings file that the template uses, with the bounds of gbpc-shore.
func (vm *entryVM) fields(zone, platform string) map[string]string {
	return map[string]string{
		"nodeName": vm.name, "zone": zone, "region": zones[zone], "ip": vm.ip,
		"bindAddrs.front": fmt.Sprintf("%s:%d", vm.ip, frontPort), "bindAddrs.ready": fmt.Sprintf("%s:%d", vm.ip, readyPort),
		"internalPorts.0": "7440", "internalPorts.1": "7455",
		"platform.address": platform, "cloudApi.address": platform,
		"bounds.fencingRequired": "true", "bounds.configApplyMs": "3000", "bounds.drainMs": "7000", "bounds.graceS": "6",
		"limits.memoryMb": strconv.Itoa(memoryMB), "limits.maxFds": "4300",
	}
}

var (
	zoneSection = regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`)
	anySection  = regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}.*?\{\{/[^}]*\}\}`)
	placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// renderTemplate fills in the template. Of the sections it knows that of the zones; those of other fields are left out,
// since the deployment has no such field.
func renderTemplate(text string, fields map[string]string) string {
	text = zoneSection.ReplaceAllStringFunc(text, func(section string) string {
		body := zoneSection.FindStringSubmatch(section)[1]
		var b strings.Builder
		for zone, region := range zones {
			b.WriteString(strings.NewReplacer("{{@}}", zone, "{{.}}", region).Replace(body))
		}
		return b.String()
	})
	text = anySection.ReplaceAllString(text, "")
	return placeholder.ReplaceAllStringFunc(text, func(p string) string { return fields[placeholder.FindStringSubmatch(p)[1]] })
}

// start starts the process.
func (vm *entryVM) start() {
	out, err := os.OpenFile(filepath.Join(vm.r.dir, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		vm.r.fatalf("%v", err)
	}
	vm.cmd = exec.CommandContext(context.Background(), program, "entry", "--settings", vm.settings)
	vm.cmd.Stdout, vm.cmd.Stderr = out, out
	if err := vm.cmd.Start(); err != nil {
		vm.r.fatalf("%v", err)
	}
	vm.r.notef("%s: started", vm.name)
	vm.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}(vm.cmd, vm.ended)
}

// kill ends the process with SIGKILL and waits for its end.
func (vm *entryVM) kill() {
	_ = vm.cmd.Process.Signal(syscall.SIGKILL)
	<-vm.ended
	vm.r.notef("%s: killed", vm.name)
}

// awaitReady waits until the VM answers its readiness probe with 200.
func (vm *entryVM) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/snipewall/readiness", vm.ip, readyPort)) //nolint:noctx // the client has a time limit
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			vm.r.notef("%s: ready", vm.name)
			return
		}
	}
	vm.r.fatalf("%s isn't ready", vm.name)
}

// front is the address for callers.
func (vm *entryVM) front() string { return fmt.Sprintf("%s:%d", vm.ip, frontPort) }

// stopEntries ends all processes that the case started.
func (r *run) stopEntries() {
	for _, vm := range r.entries {
		if vm.cmd == nil || vm.cmd.Process == nil {
			continue
		}
		_ = vm.cmd.Process.Signal(syscall.SIGKILL)
		select {
		case <-vm.ended:
		case <-time.After(time.Second):
		}
	}
}

// memory returns the memory of the process in MB, or 0 if it has ended.
func (vm *entryVM) memory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", vm.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}
