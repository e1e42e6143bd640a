package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// Log lines about peers that become live or silent at the same time are combined into one: 300 VMs that start
// together wrote 300 lines each within a second.
func TestOneLogLineForManyPeers(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	n := newNetwork()
	m, _ := n.vm("0-0", "zone-0", 1)
	m.cfg.Log = zap.New(core)
	msg := &pb.FleetExchange{Sender: &pb.FleetMember{Address: "0-1", Zone: "zone-0", Incarnation: 1, Heartbeat: 1}}
	for i := range 80 {
		msg.Members = append(msg.Members, &pb.FleetMember{Address: fmt.Sprintf("1-%d", i), Zone: "zone-1", Incarnation: 1, Heartbeat: 1})
	}
	now := time.Now()
	m.mergeMessage(msg, now)
	m.mergeMessage(msg, now) // nothing new
	found := lines.TakeAll()
	is.Equal(len(found), 1)
	is.Equal(found[0].Message, "peers live")
	is.Equal(len(found[0].ContextMap()["peers"].([]any)), 81)
	is.Equal(found[0].ContextMap()["told_by"], "0-1")

	m.advanceHeartbeat(now.Add(time.Second), 10*time.Second)
	is.Equal(lines.Len(), 0) // nothing changed
	m.advanceHeartbeat(now.Add(21*time.Second), 10*time.Second)
	gone := lines.TakeAll()
	is.Equal(len(gone), 1)
	is.Equal(gone[0].Message, "peers silent")
	is.Equal(len(gone[0].ContextMap()["peers"].([]any)), 81)
	is.Equal(gone[0].ContextMap()["live"], int64(0))
}
