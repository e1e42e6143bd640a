package scenarios

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// seedVariable is the environment variable that sets the seed of all random choices, to repeat a failed
// scenario with the seed that it logged.
const seedVariable = "SCENARIO_SEED"

// newSeed returns the seed for all verbs of the scenario: that of seedVariable, or a random one.
func (f *fleet) newSeed() (uint64, error) {
	if text := os.Getenv(seedVariable); text != "" {
		return strconv.ParseUint(text, 10, 64)
	}
	return rand.Uint64(), nil
}

// verbLoad is: load NAME [callers=8] [kinds=dawn,roster] [via=vm-1,...] [top_k=0,1,5,30] [texts=0|text=T]
// [timeout=5s] [pause=5ms] [slow=D] [cuts=BYTES] [http1]. It sends searches in the background until
// settle.
func verbLoad(ts *testscript.TestScript, neg bool, args []string) {
	f := fleetOf(ts)
	a := parseArguments(args)
	l := &load{
		fleet: f, callers: a.number("callers", 8), kinds: strings.Split(a.text("kinds", "dawn,roster"), ","),
		textCount: a.number("texts", 0), timeout: a.duration("timeout", 5*time.Second), pause: a.duration("pause", 5*time.Millisecond),
		text: a.text("text", ""), seed: f.seed, maxCutBytes: a.number("cuts", 0),
		connection: connection{readDelay: a.duration("slow", 0), http1: a.flag("http1")},
	}
	for _, k := range strings.Split(a.text("top_k", "0,1,5,30"), ",") {
		n, err := strconv.Atoi(k)
		ts.Check(err)
		l.topKs = append(l.topKs, int32(n))
	}
	for _, name := range strings.Split(a.text("via", strings.Join(nodeNames(f.vms), ",")), ",") {
		n, err := f.vm(name)
		ts.Check(err)
		l.entries = append(l.entries, n)
	}
	ts.Check(a.validate(1, 1))
	l.word = a.words[0]
	if neg || f.loads[l.word] != nil {
		ts.Fatalf("a load cannot be negated or started twice")
	}
	f.loads[l.word] = l
	l.start()
}

// verbSettle is: settle NAME [only=OUTCOME,...] [saw=REASON|OUTCOME,...] [answered=1] [replies=1]
// [within=D]. It waits for that many answers and replies, ends the load once each caller has its reply,
// and checks the outcomes of the replies.
func verbSettle(ts *testscript.TestScript, neg bool, args []string) {
	a := parseArguments(args)
	if len(a.words) != 1 || neg {
		ts.Fatalf("want one load's name")
	}
	l := fleetOf(ts).loads[a.words[0]]
	if l == nil {
		ts.Fatalf("no load %s", a.words[0])
	}
	answered, total := a.number("answered", 1), a.number("replies", 1)
	ts.Check(await("replies", awaitTimeout, func() error {
		if t := l.soFar(); t.answered() < answered || t.total < total {
			return fmt.Errorf("want %d replies, %d of them answers: %s", total, answered, t)
		}
		return nil
	}))
	t := tallyOf(l.finish())
	ts.Logf("load %s: %s", l.word, t)
	ts.Check(t.check(a))
}

// verbUpset is: upset LEAVES for=D [every=30ms] JSON... . At each interval it sets a random one of the
// faults, or none, at a random leaf. It clears all faults at the end.
func verbUpset(f *fleet, a *arguments) error {
	lasts, every := a.duration("for", 0), a.duration("every", 30*time.Millisecond)
	if err := a.validate(2, anyNumber); err != nil {
		return err
	}
	leaves, err := f.leavesNamed(a.words[0])
	if err != nil {
		return err
	}
	faults := append([]string{"{}"}, a.words[1:]...)
	for _, text := range faults {
		if !json.Valid([]byte(text)) {
			return fmt.Errorf("not JSON: %s", text)
		}
	}
	random := rand.New(rand.NewPCG(f.seed, 0))
	for start := time.Now(); time.Since(start) < lasts; time.Sleep(every) {
		n := leaves[random.IntN(len(leaves))]
		if err := put(leafURL(n, "/faults"), []byte(faults[random.IntN(len(faults))])); err != nil {
			return err
		}
	}
	for _, n := range leaves {
		if err := put(leafURL(n, "/faults"), []byte("{}")); err != nil {
			return err
		}
	}
	return nil
}

// verbAbandoned is: abandoned within=D [port=N]. It waits until the side that opened each
// silent connection has closed it, which by the relay's clock must be within D of its silence.
func verbAbandoned(ts *testscript.TestScript, neg bool, args []string) {
	f, a := fleetOf(ts), parseArguments(args)
	within, port := a.duration("within", 0), a.number("port", 0)
	ts.Check(a.validate(0, 0))
	if neg || f.relay == nil {
		ts.Fatalf("want a fleet with a relay")
	}
	var longest *link
	ts.Check(await("silent connections are closed", awaitTimeout, func() (err error) {
		longest, err = f.relay.longestKeptSilent(port)
		return err
	}))
	if longest == nil {
		ts.Fatalf("no connection was made silent")
	}
	ts.Logf("the silent connection kept open longest was %s: %s", longest, longest.keptFor().Round(time.Millisecond))
	if longest.keptFor() > within {
		ts.Fatalf("want it closed within %s", within)
	}
}
