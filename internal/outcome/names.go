package outcome

import "strings"

// trimLower converts an enum name such as REASON_QUEUE_FULL to queue_full.
func trimLower(s, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(s, prefix))
}
