package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

const (
	// spoiledRequests are sent to each route, one each spoiledPeriod.
	spoiledRequests, spoiledPeriod = 400, 20 * time.Millisecond
	// spoiledEvery is N where one in N answers of the faulty leaf has a wrong byte: x of the disruption garble.
	spoiledEvery = 20
)

// unsignedSuccess shows the rule MIXED. A faulty leaf hands out a wrong byte in some of its answers, in the name of the
// header Server-Stamp. No client may get a success without the leaf's Server-Stamp.
func unsignedSuccess(ctx context.Context, w *world, trouble bool) error {
	var answers, spoiled atomic.Int64
	var faulty *hosted.Leaf
	garble := func(_ int, r *http.Request) hosted.Reply {
		reply := hosted.Reply{Delay: 2 * time.Millisecond, Body: []byte("card")}
		if trouble && answers.Add(1)%spoiledEvery == 0 {
			id := hosted.RequestID(r)
			spoiled.Add(1)
			w.note("leaf i-c runs request %s and spoils its answer", id)
			reply.Raw = bytes.Replace(faulty.Answer(id, reply), []byte("Server-Stamp"), []byte("Server-Stbmp"), 1)
		}
		return reply
	}
	sound := func(int, *http.Request) hosted.Reply {
		return hosted.Reply{Delay: 2 * time.Millisecond, Body: []byte("card")}
	}
	for i, id := range []string{"i-a", "i-b"} {
		if _, err := w.startLeaf(id, "school-portal", zones[i], 6, sound); err != nil {
			return err
		}
	}
	var err error
	if faulty, err = w.startLeaf("i-c", "school-portal", zones[2], 6, garble); err != nil {
		return err
	}
	var routes []map[string]any
	for _, kind := range []string{"idempotent", "non_idempotent"} {
		routes = append(routes, map[string]any{
			"name": kind, "host": "cards.example", "prefix": "/" + kind + "/", "kind": kind, "service": "school-portal",
			"timeout_ms": 4000, "target_latency_ms": 600, "max_attempts": 3, "priority": 2,
		})
	}
	w.configure(11, routes, []map[string]any{{"name": "school-portal", "health_check_path": "/health", "connection_limit": 96, "protocol": "h1"}})
	if err := w.startMachines(ctx); err != nil {
		return err
	}
	sleep(ctx, contactTimeout)
	unsigned, first := 0, ""
	for _, kind := range []string{"idempotent", "non_idempotent"} {
		var clients []*client
		for _, m := range w.machines {
			clients = append(clients, &client{w: w, machine: m, name: fmt.Sprintf("%s-%s", m.name, kind)})
		}
		for i := range spoiledRequests {
			if !sleep(ctx, spoiledPeriod) {
				return ctx.Err()
			}
			c := clients[i%len(clients)]
			id, status := c.send(methodOf(kind), "cards.example", "/"+kind+"/"+fmt.Sprint(i), 4*time.Second)
			if status/100 == 2 && !strings.Contains(c.stamps, "."+id) {
				unsigned++
				w.note("request %s got a success without the Server-Stamp of a leaf", id)
				if first == "" {
					first = id
				}
			}
		}
		for _, c := range clients {
			c.drop()
		}
	}
	w.note("the faulty leaf spoiled %d answers", spoiled.Load())
	if unsigned > 0 {
		return fmt.Errorf("%w: %d of %d requests got a success without a leaf's Server-Stamp, the first one %s", errBroken, unsigned, 2*spoiledRequests, first)
	}
	return nil
}

// methodOf returns the method of the requests of the kind.
func methodOf(kind string) string {
	if kind == "idempotent" {
		return http.MethodGet
	}
	return http.MethodPost
}
