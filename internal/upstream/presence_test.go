package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	byNone    = pb.DepartureSource_DEPARTURE_SOURCE_UNSPECIFIED
	byList    = pb.DepartureSource_DEPARTURE_SOURCE_LIST
	byRefusal = pb.DepartureSource_DEPARTURE_SOURCE_REFUSAL
	byConnect = pb.DepartureSource_DEPARTURE_SOURCE_CONNECT
)

func TestPresenceRules(t *testing.T) {
	epoch := time.Now()
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	for _, tt := range []struct {
		name string
		do   func(p *presence)
		want pb.DepartureSource
	}{
		{"no evidence", func(p *presence) { p.recordConnected(1, at(0)) }, byNone},
		{"named evidence outlives new connections", func(p *presence) {
			p.recordConnected(1, at(0))
			p.recordDeparture(1, byRefusal)
			p.recordConnected(1, at(5))
		}, byRefusal},
		{"another incarnation ends it", func(p *presence) {
			p.recordConnected(1, at(0))
			p.recordDeparture(1, byRefusal)
			p.recordConnected(2, at(5))
		}, byNone},
		{"an old connection doesn't bring the old incarnation back", func(p *presence) {
			p.recordConnected(1, at(0))
			p.recordConnected(2, at(5))
			p.recordDeparture(2, byRefusal)
			p.recordConnected(1, at(4))
		}, byRefusal},
		{"evidence of an incarnation not current", func(p *presence) {
			p.recordConnected(2, at(0))
			p.recordDeparture(1, byRefusal)
		}, byNone},
		{"evidence comes before the incarnation", func(p *presence) {
			p.recordDeparture(2, byRefusal)
			p.recordConnected(2, at(0))
		}, byRefusal},
		{"refused connection", func(p *presence) {
			p.recordConnected(1, at(0))
			p.recordRefused(at(1))
		}, byConnect},
		{"refused connection, then one accepted by the same incarnation", func(p *presence) {
			p.recordConnected(1, at(0))
			p.recordRefused(at(1))
			p.recordConnected(1, at(2))
		}, byNone},
		{"refused connection older than the newest accepted", func(p *presence) {
			p.recordConnected(1, at(2))
			p.recordRefused(at(1))
		}, byNone},
		{"an accepted connection of a draining leaf clears nothing", func(p *presence) {
			p.recordConnected(1, at(0))
			p.recordRefused(at(1))
			p.recordDeparture(1, byRefusal)
			p.recordConnected(1, at(2))
		}, byRefusal},
		{"list while it says so", func(p *presence) {
			p.recordConnected(1, at(0))
			p.recordListed(true, at(1))
		}, byList},
		{"list that says live again", func(p *presence) {
			p.recordConnected(1, at(0))
			p.recordListed(true, at(1))
			p.recordListed(false, time.Time{})
		}, byNone},
		{"list that says live doesn't end other evidence", func(p *presence) {
			p.recordConnected(1, at(0))
			p.recordDeparture(1, byRefusal)
			p.recordListed(false, time.Time{})
		}, byRefusal},
		{"list that speaks of the incarnation before", func(p *presence) {
			p.recordConnected(1, at(0))
			p.recordConnected(2, at(5))
			p.recordListed(true, at(4))
		}, byNone},
		{"list known before the first incarnation", func(p *presence) {
			p.recordListed(true, at(0))
			p.recordConnected(1, at(1))
			p.recordListed(true, at(0))
		}, byList},
		{"no status was ever answered", func(p *presence) { p.recordConnected(0, at(0)) }, byNone},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var p presence
			tt.do(&p)
			is.Equal(p.leaving(), tt.want)
		})
	}
}

func TestPresenceEvictsOldIncarnationsOnly(t *testing.T) {
	is := is.New(t)
	var p presence
	p.recordConnected(1, time.Now())
	for n := uint64(1); n <= 10*maxDeparted; n++ {
		p.recordDeparture(n, byRefusal)
	}
	is.True(len(p.departed) <= maxDeparted)
	is.Equal(p.leaving(), byRefusal)
}
