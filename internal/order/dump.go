package order

// dump is the state of the order duty as operators see it. It holds no MAC, payload or result.
type dump struct {
	VM           string         `json:"vm"`
	Incarnation  uint64         `json:"incarnation"`
	Draining     bool           `json:"draining"`
	TicketTTL    string         `json:"ticket_ttl"`
	Tickets      counts         `json:"tickets"`
	UnknownShare float64        `json:"unknown_share"`
	WitnessNotes map[string]int `json:"witness_notes"`
	// RetiredIncarnations is the number of incarnations that handed their records to this one.
	RetiredIncarnations int `json:"retired_incarnations"`
	RetiredRecords      int `json:"retired_records"`
	SpreadQueue         int `json:"spread_queue"`
}

// Dump implements operator.Dumper.
func (m *Manager) Dump() any {
	incarnations, records := m.archive.size()
	return dump{
		VM: m.table.self.vm, Incarnation: m.table.self.incarnation, Draining: m.draining.Load(),
		TicketTTL: m.cfg.TTL.String(), Tickets: m.table.counts(), UnknownShare: m.metrics.unknownShare(),
		WitnessNotes: m.witness.notesByState(), RetiredIncarnations: incarnations, RetiredRecords: records, SpreadQueue: len(m.pendingOutcomes),
	}
}
