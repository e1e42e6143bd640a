package quarantine

import (
	"fmt"
	"sort"
	"time"
)

// dump is the state returned by Dump.
type dump struct {
	Proven   int           `json:"proven"`
	Suspects []dumpSuspect `json:"suspects"`
	Withheld []string      `json:"held_leaves"`
}

type dumpSuspect struct {
	// Digest is written as 16 hex digits. The content itself is never shown.
	Digest string `json:"digest"`
	Status string `json:"standing"`
	// Answered is true if a leaf has answered the request to this VM or another VM has reported an answer.
	Answered bool        `json:"answered"`
	Crashes  []dumpCrash `json:"crashes"`
}

type dumpCrash struct {
	Leaf        string `json:"leaf"`
	Incarnation uint64 `json:"incarnation"`
	Age         string `json:"age"`
	Alone       bool   `json:"alone"`
}

// Dump implements operator.Dumper.
func (r *Registry) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	d := dump{Proven: r.proven.len(), Suspects: []dumpSuspect{}, Withheld: []string{}}
	for _, s := range r.suspects {
		d.Suspects = append(d.Suspects, r.describeSuspect(s, now))
	}
	sort.Slice(d.Suspects, func(i, j int) bool { return d.Suspects[i].Digest < d.Suspects[j].Digest })
	for id, l := range r.leaves {
		if r.lostRecently(l, now) {
			d.Withheld = append(d.Withheld, id)
		}
	}
	sort.Strings(d.Withheld)
	return d
}

func (r *Registry) describeSuspect(s *suspect, now time.Time) dumpSuspect {
	d := dumpSuspect{Digest: fmt.Sprintf("%016x", s.digest), Status: r.statusOf(s, now).String(), Answered: r.contentAnswered(s.digest)}
	for _, c := range s.crashes {
		d.Crashes = append(d.Crashes, dumpCrash{
			Leaf: c.leaf, Incarnation: c.incarnation, Age: now.Sub(c.renewedAt).Round(time.Millisecond).String(), Alone: c.alone,
		})
	}
	return d
}
