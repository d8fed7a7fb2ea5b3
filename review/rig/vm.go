package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// fleet starts entry VMs with the command of deploy/system.toml and the template deploy/entry.ini.
type fleet struct {
	program, template string
	// dir is a temporary folder for settings and logs.
	dir string
	// net is the prefix of the loopback addresses.
	net                 string
	storeAddress, cloud string
	zones               []string
	rec                 *record
	vms                 []*entryVM
}

// entryVM is a process of the program.
type entryVM struct {
	name, zone, ip string
	callers, ready string
	settings       string
	logFile        *os.File
	cmd            *exec.Cmd
	ended          chan struct{}
	startedAt      time.Time
}

// freePort returns a port that is free on the address.
func freePort(ctx context.Context, ip string) (string, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	_, port, err := net.SplitHostPort(ln.Addr().String())
	return port, err
}

func regionOf(zone string) string { return "region-" + zone }

// start starts another VM.
func (f *fleet) start(ctx context.Context, zone string) (*entryVM, error) {
	n := len(f.vms) + 1
	vm := &entryVM{name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("%s.%d", f.net, 10+n)}
	ports := make([]string, 4)
	for i := range ports {
		port, err := freePort(ctx, vm.ip)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	vm.callers, vm.ready = vm.ip+":"+ports[0], vm.ip+":"+ports[1]
	template, err := os.ReadFile(f.template)
	if err != nil {
		return nil, err
	}
	text, err := fill(string(template), map[string]string{
		"nodeName": vm.name, "zone": zone, "region": regionOf(zone), "ip": vm.ip, "bindAddrs.front": vm.callers, "bindAddrs.ready": vm.ready,
		"internalPorts.0": ports[2], "internalPorts.1": ports[3], "platform.address": f.storeAddress, "cloudApi.address": f.cloud,
		"bounds.fencingRequired": "true", "bounds.configApplyMs": "3000", "bounds.drainMs": "7000", "bounds.graceS": "6", "limits.memoryMb": "284",
	}, f.zones)
	if err != nil {
		return nil, err
	}
	vm.settings = filepath.Join(f.dir, vm.name+".ini")
	if err := os.WriteFile(vm.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if vm.logFile, err = os.Create(filepath.Join(f.dir, vm.name+".log")); err != nil {
		return nil, err
	}
	f.vms = append(f.vms, vm)
	return vm, f.run(vm)
}

// run starts the VM's process.
func (f *fleet) run(vm *entryVM) error {
	vm.cmd = exec.CommandContext(context.Background(), f.program, "entry", "--settings", vm.settings)
	vm.cmd.Stdout, vm.cmd.Stderr = vm.logFile, vm.logFile
	vm.ended, vm.startedAt = make(chan struct{}), time.Now()
	if err := vm.cmd.Start(); err != nil {
		return err
	}
	f.rec.note("%s starts, process %d", vm.name, vm.cmd.Process.Pid)
	cmd, ended := vm.cmd, vm.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// awaitReady waits until the VM reports that it is ready.
func (vm *entryVM) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.ready+"/snipewall/readiness", http.NoBody)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %w", vm.name, ctx.Err())
}

// stopAll ends all processes.
func (f *fleet) stopAll() {
	for _, vm := range f.vms {
		_ = vm.cmd.Process.Signal(syscall.SIGKILL)
		<-vm.ended
		_ = vm.logFile.Close()
	}
}
