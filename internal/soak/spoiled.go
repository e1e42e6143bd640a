package soak

import (
	"bytes"
	"math/rand/v2"
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

// spoilSignature replaces the reply by one in which a byte of the signature's name is wrong.
func spoilSignature(leaf *hosted.Leaf, id string, reply *hosted.Reply) {
	reply.Raw = bytes.Replace(leaf.Answer(id, *reply), []byte("Server-Stamp"), []byte("Server-Stbmp"), 1)
}

// endlessReplies are the beginnings of answers and the bytes that follow without end.
var endlessReplies = []hosted.Reply{
	{Raw: []byte{0}, Endless: []byte("\x00\x01\x02")},
	{Raw: []byte("HTTP/1.1 200 OK\r\nRequest-Id: "), Endless: []byte("r")},
	{Raw: []byte("HTTP/1.1 200 OK\r\n"), Endless: []byte("X-Name: value\r\n")},
	{Raw: []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), Endless: []byte("4\r\nbody\r\n")},
}

// neverEnd replaces the reply by one of the endless ones.
func neverEnd(reply *hosted.Reply) {
	*reply = endlessReplies[rand.N(len(endlessReplies))]
	reply.Delay = leafWork
}
