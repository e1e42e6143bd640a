package syncd

import (
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/membership"
	"github.com/burdockplank/burdockplank/internal/operator"
	"github.com/burdockplank/burdockplank/internal/process"
	"github.com/burdockplank/burdockplank/internal/version"
)

// Program is the name of the binary.
const Program = "burdock-sync"

// Dumps returns the dumpers of the sync's components.
func (m *Manager) Dumps() *operator.Dumps {
	d := operator.NewDumps()
	d.Add(process.InfoDuty, operator.DumpFunc(func() any { return m.info(time.Now()) }))
	d.Add("bundle", m.bundles)
	d.Add("platform", operator.DumpFunc(func() any { return m.platformDump(time.Now()) }))
	d.Add("members", operator.DumpFunc(func() any { return m.membersDump() }))
	d.Add("evidence", operator.DumpFunc(func() any { return m.evidenceDump(time.Now()) }))
	d.Add("spread", m.spread)
	return d
}

func (m *Manager) info(now time.Time) process.Info {
	i := process.Info{
		Program: Program, VM: m.cfg.Settings.VM.ID, Zone: m.cfg.Settings.VM.Zone, Role: "sync",
		Incarnation: m.cfg.Incarnation, State: process.StateStarting,
		PlatformAgeSeconds: m.platformAgeSeconds(now), Version: version.Version,
	}
	if b := m.content.Bundle(); b != nil {
		i.BundleVersion = b.Version
	}
	if ready, _ := m.Ready(); ready {
		i.State = process.StateReady
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining {
		i.State = process.StateDraining
	}
	return i
}

// platformAgeSeconds returns the age of the last platform contact in seconds, or -1 if there was
// none.
func (m *Manager) platformAgeSeconds(now time.Time) float64 {
	age, known := m.spread.PlatformAge(now)
	if !known {
		return -1
	}
	return age.Seconds()
}

// platformDump is the state of platform reads as shown to operators.
type platformDump struct {
	Address           string  `json:"address"`
	ContactAgeSeconds float64 `json:"contact_age_seconds"`
	Reading           bool    `json:"reading"`
	Rank              int     `json:"rank"`
	ListRevision      uint64  `json:"list_revision"`
	ListVMs           int     `json:"list_vms"`
	ListUpstreams     int     `json:"list_upstreams"`
	HighestVersion    uint64  `json:"highest_bundle_version"`
}

func (m *Manager) platformDump(now time.Time) platformDump {
	d := platformDump{
		Address: m.cfg.Settings.Platform.Address, ContactAgeSeconds: m.platformAgeSeconds(now),
		Reading: m.reader.isActive(), Rank: m.reader.state(now).Rank, HighestVersion: m.highestVersion(),
	}
	if l := m.content.List(); l != nil {
		d.ListRevision, d.ListVMs, d.ListUpstreams = l.Revision, len(l.VMs), len(l.Upstreams)
	}
	return d
}

// memberDump is one VM as shown to operators.
type memberDump struct {
	ID          string        `json:"id"`
	Zone        string        `json:"zone"`
	Address     string        `json:"address"`
	State       string        `json:"state"`
	Incarnation uint64        `json:"incarnation,string"`
	Heartbeat   uint64        `json:"heartbeat"`
	Processes   []processDump `json:"processes"`
}

type processDump struct {
	Role        string `json:"role"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation,string"`
}

func (m *Manager) membersDump() []memberDump {
	out := []memberDump{}
	for _, vm := range m.members.View() {
		d := memberDump{
			ID: vm.GetId(), Zone: vm.GetZone(), Address: vm.GetAddress(), State: membership.StateName(vm.GetState()),
			Incarnation: vm.GetIncarnation(), Heartbeat: vm.GetHeartbeat(),
		}
		for _, p := range vm.GetProcesses() {
			d.Processes = append(d.Processes, processDump{
				Role: enumName(p.GetRole().String(), "PROCESS_ROLE_"), State: enumName(p.GetState().String(), "PROCESS_STATE_"),
				Incarnation: p.GetIncarnation(),
			})
		}
		out = append(out, d)
	}
	return out
}

// evidenceDump is the evidence as shown to operators.
type evidenceDump struct {
	Departures []departureDump `json:"departures"`
	Crashes    []crashDump     `json:"crashes"`
}

type departureDump struct {
	Leaf        string  `json:"leaf"`
	Incarnation uint64  `json:"incarnation,string"`
	Source      string  `json:"source"`
	VM          string  `json:"vm"`
	AgeSeconds  float64 `json:"age_seconds"`
}

type crashDump struct {
	RequestDigest uint64  `json:"request_digest,string"`
	Leaf          string  `json:"leaf"`
	Incarnation   uint64  `json:"incarnation,string"`
	Alone         bool    `json:"alone"`
	Answered      bool    `json:"answered"`
	AgeSeconds    float64 `json:"age_seconds"`
}

func (m *Manager) evidenceDump(now time.Time) evidenceDump {
	d := evidenceDump{Departures: []departureDump{}, Crashes: []crashDump{}}
	for _, e := range m.evidence.Departures(now) {
		d.Departures = append(d.Departures, departureDump{
			Leaf: e.GetLeaf(), Incarnation: e.GetIncarnation(), VM: e.GetVm(),
			Source: enumName(e.GetSource().String(), "DEPARTURE_SOURCE_"), AgeSeconds: e.GetAge().AsDuration().Seconds(),
		})
	}
	for _, c := range m.evidence.Crashes(now) {
		d.Crashes = append(d.Crashes, crashDumpOf(c))
	}
	return d
}

func crashDumpOf(c *pb.Crash) crashDump {
	return crashDump{
		RequestDigest: c.GetRequestDigest(), Leaf: c.GetLeaf(), Incarnation: c.GetIncarnation(),
		Alone: c.GetAlone(), Answered: c.GetAnswered(), AgeSeconds: c.GetAge().AsDuration().Seconds(),
	}
}
