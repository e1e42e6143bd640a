package readers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/burdockplank/burdockplank/internal/rapidseed"
)

func vms(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("vm-%d", i))
	}
	return out
}

// active returns the VMs of a zone that read, given that all have the same view.
func active(members []string, age time.Duration) (out []string) {
	for _, vm := range members {
		s := State{Rank: Rank("az-1", members, vm), Members: len(members), ContactAge: age, SinceTakeover: -1}
		if Active(s) {
			out = append(out, vm)
		}
	}
	return out
}

func TestReaderCountIsIndependentOfZoneSize(t *testing.T) {
	for _, n := range []int{1, 2, 3, 8, 132} {
		is := is.New(t)
		is.Equal(len(active(vms(n), 0)), min(n, PerZone))
		is.Equal(len(active(vms(n), TakeoverAfter-1)), min(n, PerZone))
		for age := TakeoverAfter; age < TakeoverAfter+70*TurnDuration; age += TurnDuration {
			is.True(len(active(vms(n), age)) <= 2*PerZone) // even while the platform is down
		}
	}
}

func TestEachVMGetsATurn(t *testing.T) {
	is := is.New(t)
	members := vms(9)
	seen := make(map[string]bool)
	for age := TakeoverAfter; age < TakeoverAfter+4*TurnDuration; age += TurnDuration {
		for _, vm := range active(members, age) {
			seen[vm] = true
		}
	}
	is.Equal(len(seen), len(members))
}

func TestTakeoverLastsItsDuration(t *testing.T) {
	is := is.New(t)
	s := State{Rank: 5, Members: 8, ContactAge: time.Second, SinceTakeover: TakeoverDuration - 1}
	is.True(Active(s))
	s.SinceTakeover = TakeoverDuration
	is.True(!Active(s))
}

func TestRankIsStable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		members := vms(rapid.IntRange(2, 40).Draw(rt, "n"))
		before := ByRank("az-1", members)
		for i, vm := range before {
			is.Equal(Rank("az-1", members, vm), i)
		}
		lost := rapid.SampledFrom(members).Draw(rt, "lost")
		remaining := slices.DeleteFunc(slices.Clone(members), func(vm string) bool { return vm == lost })
		after := ByRank("az-1", remaining)
		is.Equal(after, slices.DeleteFunc(before, func(vm string) bool { return vm == lost }))
	})
}
