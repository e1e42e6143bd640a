package scenarios

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/burdockplank/burdockplank/internal/settings"
	"github.com/burdockplank/burdockplank/internal/standin/platform"
)

// verbList sets the state of a VM or leaf in the platform's list: live, leaving or absent.
func verbList(f *fleet, a *arguments) error {
	if err := a.validate(2, 2); err != nil {
		return err
	}
	name, state := a.words[0], platform.State(a.words[1])
	if !slices.Contains([]platform.State{stateLive, stateLeaving, stateAbsent}, state) {
		return fmt.Errorf("want live, leaving or absent, got %q", state)
	}
	if _, err := nodeNamed(f.nodes()[1:], name); err != nil {
		return err
	}
	f.states[name] = state
	delete(f.listedLeavingSince, name)
	if state == stateLeaving && f.listLag == 0 {
		f.listedLeavingSince[name] = time.Now()
	}
	return putJSON(f.platformURL("/list"), f.list())
}

// verbReplace kills a VM, starts another at the same address under a new name, and updates the platform's
// list.
func verbReplace(f *fleet, a *arguments) error {
	if err := a.validate(2, 2); err != nil {
		return err
	}
	n, err := f.vm(a.words[0])
	if err != nil {
		return err
	}
	old, name := n.name, a.words[1]
	ds, err := f.findProcesses(old)
	if err != nil {
		return err
	}
	if err := eachOf(ds, (*daemon).Kill); err != nil {
		return err
	}
	n.name = name
	for _, d := range ds {
		role, _, _ := strings.Cut(d.Name(), "/")
		file, err := f.writeSettings(role+"-"+name, f.vmSettings(role, n))
		if err != nil {
			return err
		}
		*d = *newDaemon(role+"/"+name, f.dir, "burdock-"+role, "--settings", file)
		if err := d.Start(); err != nil {
			return err
		}
	}
	return putJSON(f.platformURL("/list"), f.list())
}

// verbPublish publishes the newest bundle with another version and optionally other snapshots and edits.
func verbPublish(f *fleet, a *arguments) error {
	version := a.number("version", 0)
	snapshots := a.text("snapshots", "")
	signers, by := a.number("signers", len(f.reviewers)), a.text("by", "")
	size := a.number("bytes", 0)
	if err := a.validate(0, anyNumber); err != nil {
		return err
	}
	if version < 1 || signers < 0 || signers > len(f.reviewers) {
		return fmt.Errorf("want version=N from 1 and signers=0 to %d", len(f.reviewers))
	}
	text, err := f.editBundle(uint64(version), snapshots, a.words)
	if err != nil {
		return err
	}
	signing := f.reviewers[:signers]
	if by != "" {
		if signing, err = f.parseSigners(by); err != nil {
			return err
		}
	}
	if size > 0 {
		text = padBundle(text, size)
	}
	return f.publish(text, signing)
}

// verbStale is: stale N. The platform serves the bundle as of the time when version N was the
// newest; stale 0 ends that.
func verbStale(f *fleet, a *arguments) error {
	if err := a.validate(1, 1); err != nil {
		return err
	}
	var version uint64
	if _, err := fmt.Sscan(a.words[0], &version); err != nil {
		return err
	}
	revision := f.revisions[version]
	if version != 0 && revision == 0 {
		return fmt.Errorf("version %d was not published", version)
	}
	return putJSON(f.platformURL("/faults"), platform.Faults{StaleRevision: revision})
}

// verbLag makes the platform serve each list with that delay after its publication.
func verbLag(f *fleet, a *arguments) error {
	if err := a.validate(1, 1); err != nil {
		return err
	}
	d, err := time.ParseDuration(a.words[0])
	if err != nil {
		return err
	}
	f.listLag = d
	return putJSON(f.platformURL("/faults"), platform.Faults{ListLag: settings.Duration(d)})
}
