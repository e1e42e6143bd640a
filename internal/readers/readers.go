// Package readers decides which VMs of an availability zone read the platform, so that the reads
// stay constant per zone as the fleet grows. It is pure: all VMs with one view decide alike, and
// without a message.
package readers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// PerZone is how many VMs of a zone read at any time.
	PerZone = 2
	// TakeoverAfter is the age of the newest platform contact, of any VM, from which others take
	// over. It is above the wait of a long poll.
	TakeoverAfter = 8 * time.Second
	// TurnDuration is how long each group of PerZone VMs tries before the next one does.
	TurnDuration = 2 * time.Second
	// TakeoverDuration is how long a VM that took over and reached the platform goes on reading.
	TakeoverDuration = time.Minute
)

// Rank returns the VM's place among those of its zone by rendezvous hashing, 0 first. A VM that
// joins or leaves moves nobody past another. self counts as a member if it is left out.
func Rank(zone string, vms []string, self string) int {
	rank := 0
	own := weight(zone, self)
	for _, vm := range vms {
		w := weight(zone, vm)
		if vm != self && (w > own || w == own && vm < self) {
			rank++
		}
	}
	return rank
}

// ByRank returns the VMs by rank.
func ByRank(zone string, vms []string) []string {
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(zone, b), weight(zone, a)), cmp.Compare(a, b))
	})
	return out
}

func weight(zone, vm string) uint64 { return xxhash.Sum64String(zone + "\x00" + vm) }

// State is what decides whether a VM reads.
type State struct {
	// Rank of the VM among the Members of its zone that can read, from 0.
	Rank, Members int
	// ContactAge is the age of the newest platform contact that was heard of.
	ContactAge time.Duration
	// Jitter of this VM, from 0 up to and without 1.
	Jitter float64
	// SinceTakeover is how long ago this VM took over and reached the platform; negative for never.
	SinceTakeover time.Duration
}

// Active tells whether the VM reads now. The first by rank always do. Where no contact is fresh the
// others take turns, PerZone at a time, so that a platform that is down meets no more than twice
// the usual readers, and each VM of a zone tries in the end.
func Active(s State) bool {
	if s.Rank < PerZone {
		return true
	}
	if s.SinceTakeover >= 0 && s.SinceTakeover < TakeoverDuration {
		return true
	}
	late := s.ContactAge - TakeoverAfter - time.Duration(s.Jitter*float64(TurnDuration)/2)
	if late < 0 {
		return false
	}
	others := s.Members - PerZone
	turns := (others + PerZone - 1) / PerZone
	turn := int(late/TurnDuration) % max(turns, 1)
	return (s.Rank-PerZone)/PerZone == turn
}
