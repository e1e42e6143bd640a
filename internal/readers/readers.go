// Package readers decides which VMs of an availability zone read the platform, so that the number of reads per zone
// stays constant as the fleet grows. It is pure: all VMs with the same view decide alike, without a message.
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
	// TakeoverAfter is the age of the newest platform contact, of any VM, from which others take over. It is above
	// the wait of a long poll.
	TakeoverAfter = 8 * time.Second
	// TurnDuration is how long each group of PerZone VMs tries before the next group does.
	TurnDuration = 2 * time.Second
	// TakeoverDuration is how long a VM that took over and reached the platform continues to read.
	TakeoverDuration = time.Minute
)

// Rank returns the VM's place among those of its zone by rendezvous hashing, starting with 0. A VM that joins or
// leaves does not change the order of the others. self counts as a member if it is missing from vms.
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

// ByRank returns the VMs sorted by rank.
func ByRank(zone string, vms []string) []string {
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(zone, b), weight(zone, a)), cmp.Compare(a, b))
	})
	return out
}

func weight(zone, vm string) uint64 { return xxhash.Sum64String(zone + "\x00" + vm) }

// State is the input that decides whether a VM reads.
type State struct {
	// Rank of the VM, from 0, among the Members of its zone that can read.
	Rank, Members int
	// ContactAge is the age of the newest known platform contact.
	ContactAge time.Duration
	// Jitter of this VM, from 0 up to but not including 1.
	Jitter float64
	// SinceTakeover is the time since this VM took over and reached the platform; negative if it never did.
	SinceTakeover time.Duration
}

// Active reports whether the VM reads now. The first PerZone VMs by rank always do. If no contact is recent, the
// others take turns, PerZone at a time, so that a platform that is down gets requests from at most twice the
// normal number of readers, and each VM of a zone eventually tries.
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
