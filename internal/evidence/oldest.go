package evidence

import (
	"slices"
	"time"
)

// dropOldest removes the n oldest entries of m. Entries of the same age are ordered by their keys.
func dropOldest[K comparable, V any](m map[K]V, n int, seenAt func(V) time.Time, less func(a, b K) bool) {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b K) int {
		if c := seenAt(m[a]).Compare(seenAt(m[b])); c != 0 {
			return c
		}
		if less(a, b) {
			return -1
		}
		return 1
	})
	for _, k := range keys[:n] {
		delete(m, k)
	}
}
