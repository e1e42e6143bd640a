package directory

import (
	"time"

	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/mirror"
)

// Evacuation is an operator's request that nothing be sent to the leaves of an availability zone.
type Evacuation struct {
	// Revision of the store at which it was requested.
	Revision uint64
	// Since is when this VM learned of it.
	Since time.Time
}

// zoneStates are the availability zones that are evacuated, and those whose evacuation was taken back.
type zoneStates struct {
	evacuated map[string]Evacuation
	// returnedAt is when this VM learned that the evacuation was taken back.
	returnedAt map[string]time.Time
}

// zonesOf returns the states of the availability zones that the items name.
func (d *Directory) zonesOf(items []mirror.ReceivedItem) zoneStates {
	z := zoneStates{evacuated: make(map[string]Evacuation), returnedAt: make(map[string]time.Time)}
	for _, it := range items {
		zone, ok := d.decoder.Evacuation(it.Key)
		switch {
		case !ok:
		case it.Deleted:
			z.returnedAt[zone] = it.ReceivedAt
		default:
			z.evacuated[zone] = Evacuation{Revision: it.Revision, Since: it.ReceivedAt}
		}
	}
	return z
}

// noteEvacuations logs the evacuations that begin or end with the view. The caller must hold mu.
func (d *Directory) noteEvacuations(v *View, now time.Time) {
	for zone, e := range v.Evacuations {
		if before, known := d.evacuations[zone]; !known || before.Revision != e.Revision {
			d.log.Info("evacuation in force", zap.String("zone", zone), zap.Uint64("revision", e.Revision), zap.Int("leaves", v.countEvacuated(zone)))
		}
	}
	for zone, e := range d.evacuations {
		if _, inForce := v.Evacuations[zone]; !inForce {
			d.log.Info("evacuation taken back", zap.String("zone", zone), zap.Uint64("revision", v.Revision), zap.Duration("lasted", now.Sub(e.Since)))
		}
	}
	d.evacuations = v.Evacuations
}

// countEvacuated counts the leaves of the zone that may take no work.
func (v *View) countEvacuated(zone string) int {
	n := 0
	for _, leaves := range v.EvacuatedLeaves {
		for _, l := range leaves {
			if l.Zone == zone {
				n++
			}
		}
	}
	return n
}

// coldUntil returns when the leaf ceases to be cold; the zero time if it has not been cold. A leaf of a zone whose
// evacuation was taken back counts as cold from then on, since its entry says so only at its next heartbeat. This VM
// may learn of a cold leaf late but not early, so the time is never too short. The caller must hold mu.
func (d *Directory) coldUntil(r registration, zones zoneStates) time.Time {
	var until time.Time
	if r.leaf.Warmup > 0 {
		until = r.receivedAt.Add(r.leaf.Warmup)
	}
	returnedAt, returned := zones.returnedAt[r.leaf.Zone]
	if !returned || d.config == nil {
		return until
	}
	if warm := returnedAt.Add(d.config.Services[r.leaf.Service].Warmup); warm.After(until) {
		return warm
	}
	return until
}
