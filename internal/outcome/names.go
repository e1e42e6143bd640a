package outcome

import "strings"

// trimLower turns an enum name such as REASON_QUEUE_FULL into queue_full.
func trimLower(s, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(s, prefix))
}
