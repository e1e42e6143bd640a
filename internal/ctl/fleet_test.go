package ctl

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockplank/burdockplank/internal/operator"
	"github.com/burdockplank/burdockplank/internal/process"
)

// serveProcess serves an operators' listener as a daemon does. The process is ready if notReadyReason is empty.
func serveProcess(t *testing.T, info process.Info, notReadyReason string) string {
	dumps := operator.NewDumps()
	dumps.Add(process.InfoDuty, operator.DumpFunc(func() any { return info }))
	dumps.Add("queue", operator.DumpFunc(func() any { return map[string]int{"length": 7} }))
	return serve(t, operator.Handler(prometheus.NewRegistry(), dumps, func() (bool, string) { return notReadyReason == "", notReadyReason }))
}

// row returns the cells of the row that starts with the address.
func row(t *testing.T, table, addr string) string {
	t.Helper()
	for line := range strings.Lines(table) {
		if strings.HasPrefix(line, addr+" ") {
			return strings.Join(strings.Fields(strings.TrimPrefix(line, addr)), " ")
		}
	}
	t.Fatalf("no row for %s", addr)
	return ""
}

func TestFleetShowsEachProcess(t *testing.T) {
	is := is.New(t)
	const incarnation = 0xfedcba9876543210 // more than a float64 can hold
	ready := serveProcess(t, process.Info{
		Program: "burdock-entry", VM: "vm-1", Zone: "az-1", Role: "entry", Incarnation: incarnation,
		State: process.StateReady, BundleVersion: 4, PlatformAgeSeconds: 0.72,
	}, "")
	draining := serveProcess(t, process.Info{
		Program: "burdock-gather", VM: "vm-2", Zone: "az-2", Role: "gather", Incarnation: 5,
		State: process.StateDraining, BundleVersion: 3, PlatformAgeSeconds: -1,
	}, "draining")
	foreign := serve(t, http.NotFoundHandler())
	down := closedAddress(t)

	list := writeFile(t, "fleet", "# entries\n"+ready+"\n"+draining+" # leaving\n\n")
	args := []string{"fleet", "--list", list, "--operator", down, "--operator", foreign, "--timeout", "1m"}
	r := burdockctl(t, args...)
	is.Equal(r.code, ExitFailure) // some are unreachable
	is.Equal(row(t, r.out, ready), "vm-1 az-1 entry fedcba9876543210 4 700ms ready ready")
	is.Equal(row(t, r.out, draining), "vm-2 az-2 gather 0000000000000005 3 never draining not ready: draining")
	is.True(strings.Contains(row(t, r.out, down), "unreachable connection refused"))
	is.True(strings.Contains(row(t, r.out, foreign), "not an operators' listener"))
	is.True(strings.Contains(r.out, "4 processes, 1 ready, 2 unreachable"))
	is.True(strings.Contains(r.out, "bundle versions differ: version 3 in 1 processes, version 4 in 1 processes"))

	var got fleetReport
	is.NoErr(json.Unmarshal([]byte(burdockctl(t, append(args, "--json")...).out), &got))
	is.Equal(len(got.Processes), 4)
	for _, p := range got.Processes {
		if p.Operator == ready {
			is.Equal(p.Info.Incarnation, uint64(incarnation))
		}
	}
	is.Equal(burdockctl(t, "fleet", "--operator", ready+","+draining).code, ExitOK)
}

func TestFleetTimesOutOnUnresponsiveProcess(t *testing.T) {
	is := is.New(t)
	unresponsive := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	r := burdockctl(t, "fleet", "--operator", unresponsive, "--timeout", "10ms")
	is.Equal(r.code, ExitFailure)
	is.True(strings.Contains(row(t, r.out, unresponsive), "unreachable no answer in time"))
}

func TestDumpPrintsOneProcess(t *testing.T) {
	is := is.New(t)
	addr := serveProcess(t, process.Info{VM: "vm-1", Incarnation: 1 << 63}, "")
	r := burdockctl(t, "dump", addr)
	is.Equal(r.code, ExitOK)
	var duties map[string]json.RawMessage
	is.NoErr(json.Unmarshal([]byte(r.out), &duties))
	is.Equal(len(duties), 2)
	is.True(strings.Contains(r.out, `"incarnation": "9223372036854775808"`))
	is.Equal(burdockctl(t, "dump", addr, "--duty", "queue").out, "{\n  \"length\": 7\n}\n")
	r = burdockctl(t, "dump", addr, "--duty", "queues")
	is.Equal(r.code, ExitUsage)
	is.True(strings.Contains(r.errout, "there are: process queue"))
	r = burdockctl(t, "dump", closedAddress(t))
	is.Equal(r.code, ExitFailure)
	is.True(strings.Contains(r.errout, "connection refused"))
}
