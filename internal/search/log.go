package search

import (
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/burdockplank/burdockplank/internal/quarantine"
)

const (
	// logLinesPerSecond bounds the lines of each sort that an engine writes, logBurst how many come at once.
	logLinesPerSecond = 5
	logBurst          = 100
)

// firstRunLog writes the lines by which a crash can be traced to the decision that sent the request to its leaf. It is
// safe for concurrent use.
type firstRunLog struct {
	log                *zap.Logger
	placements, losses *rate.Limiter
}

func newFirstRunLog(log *zap.Logger) *firstRunLog {
	return &firstRunLog{
		log: log, placements: rate.NewLimiter(logLinesPerSecond, logBurst), losses: rate.NewLimiter(logLinesPerSecond, logBurst),
	}
}

// placed logs a first run at a leaf that is no primary, or of a suspect, with what this gather sees of the primaries.
func (l *firstRunLog) placed(f *firstRun, leaf string) {
	substitute := !isAmong(f.primaries, leaf)
	if !substitute && !f.exclusive || !l.placements.Allow() {
		return
	}
	primaries := make([]string, 0, len(f.primaries))
	for _, p := range f.primaries {
		primaries = append(primaries, p.leaf+" "+f.status(p.leaf).String())
	}
	l.log.Info("first run outside the usual", zap.Uint64("digest", f.r.key.Digest), zap.String("leaf", leaf),
		zap.Bool("substitute", substitute), zap.Bool("suspect", f.exclusive), zap.Strings("primaries", primaries))
}

// lost logs that the connection to a leaf was lost with an unproven request in flight.
func (l *firstRunLog) lost(key quarantine.Key, leaf string, incarnation uint64, alone bool) {
	if l.losses.Allow() {
		l.log.Info("connection lost with an unproven request in flight", zap.Uint64("digest", key.Digest), zap.String("leaf", leaf),
			zap.Uint64("incarnation", incarnation), zap.Bool("alone", alone))
	}
}
