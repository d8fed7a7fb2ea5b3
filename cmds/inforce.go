package cmds

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"snipewall/core"
	"snipewall/core/peers"
	"snipewall/io/ctrl"
)

const (
	// defaultWait is how long table apply waits: an edit is to be in force everywhere within 7 s.
	defaultWait = 7 * time.Second
	// checkPause is the time between two rounds of questions.
	checkPause = 100 * time.Millisecond
	// askTimeout limits the question to one entry VM.
	askTimeout = time.Second
)

// vmVersion is an entry VM's answer about the version that it has in force.
type vmVersion struct {
	id      core.VMID
	version core.Version
	err     error
}

// awaitInForce asks all entry VMs on the platform's list until they have the version, and reports the
// ones that don't have it at the end of the wait.
func awaitInForce(ctx context.Context, d *deps, st core.Store, version core.Version, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	vms, err := st.VMs(ctx)
	if err != nil {
		fmt.Fprintf(d.out, "where it is in force is not known: %v\n", err)
		return nil
	}
	vms = slices.DeleteFunc(vms, func(vm core.VM) bool { return vm.Upstream != "" || vm.Leaving })
	client := ctrl.NewClient(ctrl.ClientConfig{})
	defer func() { _ = client.Close() }()
	began := time.Now()
	for {
		missing := lacking(askVersions(ctx, client, vms), version)
		if len(missing) == 0 {
			fmt.Fprintf(d.out, "in force on all %d entry VMs after %v\n", len(vms), time.Since(began).Round(time.Millisecond))
			return nil
		}
		if time.Since(began) >= wait {
			fmt.Fprintf(d.out, "in force on %d of %d entry VMs; not on %s\n", len(vms)-len(missing), len(vms), strings.Join(missing, ", "))
			return nil
		}
		time.Sleep(checkPause)
	}
}

// askVersions asks all entry VMs at once for the version that each has in force.
func askVersions(ctx context.Context, client *ctrl.Client, vms []core.VM) []vmVersion {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ends := make(chan vmVersion, len(vms))
	for _, vm := range vms {
		go func() {
			// No table has a version above this one, so that the answer holds the version alone.
			answer, err := client.Table(ctx, vm.Control, &peers.TableRequest{Have: math.MaxUint64})
			if err != nil {
				ends <- vmVersion{id: vm.ID, err: err}
				return
			}
			ends <- vmVersion{id: vm.ID, version: answer.Version}
		}()
	}
	answers := make([]vmVersion, 0, len(vms))
	for range vms {
		answers = append(answers, <-ends)
	}
	return answers
}

// lacking describes the entry VMs that have a lower version or didn't answer.
func lacking(answers []vmVersion, version core.Version) []string {
	var missing []string
	for _, a := range answers {
		switch {
		case a.err != nil:
			missing = append(missing, fmt.Sprintf("%s (no answer)", a.id))
		case a.version < version:
			missing = append(missing, fmt.Sprintf("%s (version %d)", a.id, a.version))
		}
	}
	slices.Sort(missing)
	return missing
}
