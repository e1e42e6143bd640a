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
	// FieldBadCalls holds the bad calls of a request, FieldService and FieldLeaf what each was to.
	FieldBadCalls, FieldService, FieldLeaf = "bad_calls", "service", "leaf"
)
