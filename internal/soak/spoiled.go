package soak

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

// spoiledGap is the mean time between the faults in which leaves spoil bytes of their answers.
const spoiledGap = 3 * time.Second

// spoiledAnswers draws faults in which leaves spoil bytes of their answers, from a random source of their own, as addedFaults
// does.
func spoiledAnswers(seed uint64, size Size) []Event {
	rng := rand.New(rand.NewPCG(seed, 8))
	kinds := []Fault{LeafUnsigned, LeafEndless}
	var out []Event
	for at := drawDuration(rng, spoiledGap); at < size.Faults; at += drawDuration(rng, spoiledGap) {
		out = append(out, Event{At: at, For: drawDuration(rng, maxFaultTime/4), Fault: kinds[rng.IntN(len(kinds))], Share: rng.Float64() / 4, Pick: rng.Uint64()})
	}
	return out
}

// neverEnd replaces the reply to the attempt by one that never ends.
func neverEnd(id string, reply *hosted.Reply) {
	replies := hosted.EndlessReplies(id)
	names := slices.Sorted(maps.Keys(replies))
	*reply = replies[names[rand.N(len(names))]]
	reply.Delay = leafWork
}
