package decision

// The names under which records of decisions hold what they tell of; the logs write them and the tools
// that read logs look for them.
const (
	// MsgRequest is the message of a request's line.
	MsgRequest = "request"
	// FieldID is the id of the request.
	FieldID = "id"
	// FieldVM is the VM that wrote the line, FieldTime when by its clock, FieldMsg what it is about.
	FieldVM, FieldTime, FieldMsg = "vm", "time", "msg"
	// FieldFrom is the VM that took a search from its caller, where it isn't the one that writes; FieldGatherer
	// the one that made its calls, where it isn't.
	FieldFrom, FieldGatherer = "from", "gatherer"
	// FieldDeclined says which stronger VMs didn't take a search, and why.
	FieldDeclined = "declined"
	// FieldOutcome and FieldReason say how a request ended, FieldTook after how long, FieldTarget within which time
	// its answer is worth most.
	FieldOutcome, FieldReason, FieldTook, FieldTarget = "outcome", "reason", "took", "target"
	// FieldBadCalls holds the bad calls of a request, FieldService and FieldLeaf what each was to, FieldWhat what
	// happened.
	FieldBadCalls, FieldService, FieldLeaf, FieldWhat = "bad_calls", "service", "leaf", "what"
	// MsgLeftOut is the message of a line that tells of lines left out, FieldLines how many.
	MsgLeftOut, FieldLines = "log lines left out", "lines"
)
