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
	// defaultWait is the default of table apply --wait: the time within which an edit must be in force on
	// all entry VMs.
	defaultWait = 7 * time.Second
	// pollInterval is the time between two rounds of queries.
	pollInterval = 100 * time.Millisecond
	// queryTimeout limits each round of queries.
	queryTimeout = time.Second
)

// vmVersion is the table version that an entry VM has in force, or the error of the query.
type vmVersion struct {
	id      core.VMID
	version core.Version
	err     error
}

// awaitInForce polls all entry VMs on the platform's list until they have the version, and prints those
// that don't have it when the wait has passed.
func awaitInForce(ctx context.Context, d *deps, st core.Store, version core.Version, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	vms, err := st.VMs(ctx)
	if err != nil {
		fmt.Fprintf(d.out, "cannot check on which entry VMs it is in force: %v\n", err)
		return nil
	}
	vms = slices.DeleteFunc(vms, func(vm core.VM) bool { return vm.Upstream != "" || vm.Leaving })
	client := ctrl.NewClient(ctrl.ClientConfig{})
	defer func() { _ = client.Close() }()
	began := time.Now()
	for {
		missing := describeMissing(queryVersions(ctx, client, vms), version)
		if len(missing) == 0 {
			fmt.Fprintf(d.out, "in force on all %d entry VMs after %v\n", len(vms), time.Since(began).Round(time.Millisecond))
			return nil
		}
		if time.Since(began) >= wait {
			fmt.Fprintf(d.out, "in force on %d of %d entry VMs; not on %s\n", len(vms)-len(missing), len(vms), strings.Join(missing, ", "))
			return nil
		}
		time.Sleep(pollInterval)
	}
}

// queryVersions queries the table versions of all entry VMs concurrently.
func queryVersions(ctx context.Context, client *ctrl.Client, vms []core.VM) []vmVersion {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	results := make(chan vmVersion, len(vms))
	for _, vm := range vms {
		go func() {
			// No table is newer than the highest version, so that the answer omits the table's rows.
			answer, err := client.Table(ctx, vm.Control, &peers.TableRequest{Have: math.MaxUint64})
			if err != nil {
				results <- vmVersion{id: vm.ID, err: err}
				return
			}
			results <- vmVersion{id: vm.ID, version: answer.Version}
		}()
	}
	answers := make([]vmVersion, 0, len(vms))
	for range vms {
		answers = append(answers, <-results)
	}
	return answers
}

// describeMissing lists the entry VMs that have a lower version or didn't answer, sorted by name.
func describeMissing(answers []vmVersion, version core.Version) []string {
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
