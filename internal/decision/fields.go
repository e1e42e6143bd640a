package decision

// Messages and field names of the decision log. The recorder writes them and the tools that read the logs look
// them up.
const (
	// MsgRequest is the message of a request's line.
	MsgRequest = "request"
	// FieldID is the request ID.
	FieldID = "id"
	// FieldVM is the VM that wrote the line, FieldTime the time by its clock, and FieldMsg the message.
	FieldVM, FieldTime, FieldMsg = "vm", "time", "msg"
	// FieldDigest is what repetitions of a request share: the same method, host, path and body.
	FieldDigest = "digest"
	// FieldFrom is the VM that received a search from its caller, if it is not the VM that writes the line.
	// FieldGatherer is the VM that made the calls, if it is not the one that writes the line.
	FieldFrom, FieldGatherer = "from", "gatherer"
	// FieldDeclined says which larger VMs did not take a search, and why.
	FieldDeclined = "declined"
	// FieldOutcome and FieldReason say how a request ended, FieldTook after how long. FieldTarget is the time
	// within which its answer has most of its value.
	FieldOutcome, FieldReason, FieldTook, FieldTarget = "outcome", "reason", "took", "target"
	// FieldBadCalls holds the bad calls of a request. FieldService and FieldLeaf are the destination of each call,
	// and FieldWhat is what happened.
	FieldBadCalls, FieldService, FieldLeaf, FieldWhat = "bad_calls", "service", "leaf", "what"
	// FieldWait is the wait by which admission decided, and FieldWaitLimit the longest one at which the request is
	// admitted. FieldDemand is the number of requests of its priority per second at this VM.
	FieldWait, FieldWaitLimit, FieldDemand, FieldPriority = "wait", "wait_limit", "demand", "priority"
	// MsgLeftOut is the message of a line that reports omitted lines, and FieldLines is their number.
	MsgLeftOut, FieldLines = "log lines left out", "lines"
)
