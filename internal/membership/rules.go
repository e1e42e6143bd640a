package membership

import pb "github.com/burdockplank/burdockplank/api/burdock/v1"

// Subject is what a rule applies to.
type Subject string

// Subjects of rules.
const (
	SubjectVM     Subject = "VM"
	SubjectRecord Subject = "record of a VM"
	SubjectLeaf   Subject = "upstream"
	SubjectBundle Subject = "bundle"
	SubjectList   Subject = "list"
)

// Claim is the statement of one source.
type Claim string

// Claims of the platform's list about a VM.
const (
	ListLive    Claim = "list: live"
	ListLeaving Claim = "list: leaving"
	ListAbsent  Claim = "list: not named"
)

// Claims of the evidence between VMs about a VM.
const (
	EvidenceNone    Claim = "evidence: never heard of"
	EvidenceLive    Claim = "evidence: live"
	EvidenceSuspect Claim = "evidence: suspect"
	EvidenceGone    Claim = "evidence: gone"
	EvidenceLeaving Claim = "evidence: says itself that it leaves"
)

// Rule defines which claim prevails if two sources make claims about the same subject.
type Rule struct {
	Subject    Subject
	One, Other Claim
	// State is the resulting state of a VM. Rules on other subjects set only Holds.
	State pb.VmState
	// Holds describes the result.
	Holds string
	Why   string
	// Package is the package that applies the rule.
	Package string
}

// Short names of the states, for the table of rules.
const (
	live    = pb.VmState_VM_STATE_LIVE
	suspect = pb.VmState_VM_STATE_SUSPECT
	leaving = pb.VmState_VM_STATE_LEAVING
	gone    = pb.VmState_VM_STATE_GONE
)

// Rules is the single table of results where sources contradict or complete each other.
// docs/MEMBERSHIP.md shows it; a test compares the two.
var Rules = []Rule{
	vmRule(ListLive, EvidenceNone, suspect, "the list may name a VM that has not started or is gone already; it is contacted, but gets no work before it speaks"),
	vmRule(ListLive, EvidenceLive, live, "both agree"),
	vmRule(ListLive, EvidenceSuspect, suspect, "the list lags; the VM has a few seconds to speak up"),
	vmRule(ListLive, EvidenceGone, gone, "the list lags; the VM is still probed and comes back by a higher heartbeat"),
	vmRule(ListLive, EvidenceLeaving, leaving, "the VM knows first that it leaves"),
	vmRule(ListLeaving, EvidenceNone, leaving, "nobody heard of it, and it is about to go"),
	vmRule(ListLeaving, EvidenceLive, leaving, "the platform is about to take it away, ready or not"),
	vmRule(ListLeaving, EvidenceSuspect, leaving, "work that it runs may still end"),
	vmRule(ListLeaving, EvidenceGone, gone, "it went"),
	vmRule(ListLeaving, EvidenceLeaving, leaving, "both agree"),
	vmRule(ListAbsent, EvidenceLive, live, "the list lags behind a VM that started, or misses one that works: who speaks is there"),
	vmRule(ListAbsent, EvidenceSuspect, suspect, "the list has nothing to add"),
	vmRule(ListAbsent, EvidenceGone, gone, "it is forgotten after a while"),
	vmRule(ListAbsent, EvidenceLeaving, leaving, "the list has nothing to add"),

	{Subject: SubjectRecord, One: "an incarnation's heartbeat", Other: "a higher heartbeat of it", Holds: "the higher one, whatever the states", Why: "only the VM itself raises it, so it was there later; this withdraws a suspicion", Package: "membership"},
	{Subject: SubjectRecord, One: "live", Other: "suspect or gone at the same heartbeat", Holds: "gone before suspect before live", Why: "else a suspicion would never spread; the VM withdraws it by a higher heartbeat", Package: "membership"},
	{Subject: SubjectRecord, One: "one incarnation of a VM", Other: "another incarnation of it", Holds: "the higher heartbeat; at one heartbeat the higher incarnation", Why: "a VM that hears of a record of its own id at or above its heartbeat raises its own above it, so the one that runs wins", Package: "membership"},
	{Subject: SubjectRecord, One: "the list's address and ports of a VM", Other: "the VM's own", Holds: "the VM's own; the list's for a port that the VM doesn't say", Why: "it knows what it listens on; the list serves to reach it first", Package: "membership"},
	{Subject: SubjectRecord, One: "a VM judged gone or suspect by a process that was paused", Other: "any", Holds: "the judgement's time starts anew after the pause", Why: "silence during one's own pause says nothing", Package: "membership"},

	{Subject: SubjectLeaf, One: "list: live", Other: "departure of the incarnation", Holds: "leaving, for that incarnation", Why: "the list lags", Package: "evidence"},
	{Subject: SubjectLeaf, One: "departure of an incarnation", Other: "another incarnation answers", Holds: "the new incarnation takes work", Why: "the departure was another start's", Package: "evidence"},
	{Subject: SubjectLeaf, One: "departure of the incarnation", Other: "the incarnation answers that it is ready", Holds: "leaving", Why: "sticky: a drain is not taken back", Package: "evidence"},
	{Subject: SubjectLeaf, One: "list: live", Other: "connection refused, incarnation unknown", Holds: "leaving for a few seconds, unless confirmed again", Why: "nothing ties the refusal to a start of the upstream", Package: "evidence"},
	{Subject: SubjectLeaf, One: "list: leaving", Other: "the leaf answers that it is ready", Holds: "leaving, while the list says so", Why: "the platform knows first what it takes away", Package: "syncd"},
	{Subject: SubjectLeaf, One: "a crash seen by one VM", Other: "the same crash seen by another", Holds: "one crash", Why: "it has one leaf and one incarnation", Package: "evidence"},

	{Subject: SubjectBundle, One: "platform", Other: "a peer or this VM holds a higher version", Holds: "the higher version", Why: "a stale platform never takes a bundle back", Package: "bundle"},
	{Subject: SubjectBundle, One: "a bundle", Other: "another of the same version", Holds: "the higher digest", Why: "all settle on one without talking", Package: "bundle"},
	{Subject: SubjectList, One: "a list", Other: "one of a lower revision", Holds: "the higher revision", Why: "a stale platform never takes the list back", Package: "content"},
}

func vmRule(list, evidence Claim, state pb.VmState, why string) Rule {
	return Rule{Subject: SubjectVM, One: list, Other: evidence, State: state, Holds: stateNames[state], Why: why, Package: "membership"}
}

var stateNames = map[pb.VmState]string{live: "live", suspect: "suspect", leaving: "leaving", gone: "gone"}

// States lists the states that a VM can have.
var States = []pb.VmState{live, suspect, leaving, gone}

// StateName returns the short name of a VM's state for dumps and metrics.
func StateName(s pb.VmState) string { return stateNames[s] }

// claims is a pair of claims about a VM.
type claims struct{ list, evidence Claim }

var vmStates = func() map[claims]pb.VmState {
	m := make(map[claims]pb.VmState)
	for _, r := range Rules {
		if r.Subject == SubjectVM {
			m[claims{r.One, r.Other}] = r.State
		}
	}
	return m
}()

// resolveState returns the state of a VM according to the rules.
func resolveState(list, evidence Claim) pb.VmState { return vmStates[claims{list, evidence}] }

// listClaim returns the claim of the list. listed is nil if the list does not contain the VM.
func listClaim(listed *pb.Vm) Claim {
	switch {
	case listed == nil:
		return ListAbsent
	case listed.GetState() == leaving:
		return ListLeaving
	}
	return ListLive
}

// evidenceClaim returns the claim of a record. record is nil if there is none.
func evidenceClaim(record *pb.Vm) Claim {
	switch record.GetState() {
	case live:
		return EvidenceLive
	case suspect:
		return EvidenceSuspect
	case gone:
		return EvidenceGone
	case leaving:
		return EvidenceLeaving
	}
	return EvidenceNone
}
