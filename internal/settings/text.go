package settings

import (
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// checkText refuses text that the TOML library accepts but reads differently from its author's intent.
// All keys are lower case: the library would decode "Version" as "version", and the last of the two
// would win. A bare number for a Duration would be decoded as nanoseconds.
func checkText(data []byte, dst any) *Error {
	durations := make(map[string]bool)
	durationKeys(reflect.TypeOf(dst), "", durations)
	var refused *Error
	walkKeys(data, func(at keyPath, k keyInText, value *unstable.Node) bool {
		reason := ""
		switch {
		case strings.ToLower(at.plain) != at.plain:
			reason = "unknown key"
		case value != nil && value.Kind != unstable.String && durations[at.plain]:
			reason = "want a duration in quotes, such as \"250ms\""
		default:
			return true
		}
		refused = &Error{Line: lineAt(data, k.offset), Key: at.indexed, Reason: reason}
		return false
	})
	return refused
}
