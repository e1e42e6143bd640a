package crashguard

import "time"

// rememberedAnswers bounds the requests that are remembered as answered, some 50 bytes each.
const rememberedAnswers = 4096

// answers remembers when requests were last answered. The one that was added first goes first.
type answers struct {
	times map[uint64]time.Time
	order []uint64
	next  int
}

func newAnswers() answers {
	return answers{times: make(map[uint64]time.Time), order: make([]uint64, 0, rememberedAnswers)}
}

// at returns when the request was last answered; zero if no answer is remembered.
func (a *answers) at(digest uint64) time.Time { return a.times[digest] }

func (a *answers) add(digest uint64, at time.Time) {
	if _, known := a.times[digest]; !known {
		a.reserve(digest)
	}
	a.times[digest] = at
}

// reserve makes room for the request.
func (a *answers) reserve(digest uint64) {
	if len(a.order) < rememberedAnswers {
		a.order = append(a.order, digest)
		return
	}
	delete(a.times, a.order[a.next])
	a.order[a.next] = digest
	a.next = (a.next + 1) % rememberedAnswers
}
