package decide

// Drains that operators order: that nothing comes then says nothing about servers or load.

// drainChanged begins or ends a drain. While it lasts no rate, peak or share of arrivals is renewed, and at
// its end what was learned is as old as it was when the drain began.
func (m *Module) drainChanged(drained bool) {
	if drained == m.drained {
		return
	}
	if m.drained = drained; drained {
		m.drainedAt = m.now
		return
	}
	for _, s := range m.known {
		m.postpone(&s.rateAt, &s.latencyAt, &s.since)
		if s.n == 0 { // nothing is out, so no silence goes on
			s.muteSince = m.now
		}
	}
	for _, k := range m.kinds {
		m.postpone(&k.heldAt, &k.since)
	}
	m.postpone(&m.periodAt)
	m.resync()
	m.evaluate()
}

// postpone moves times by as long as the drain has lasted, and none beyond now.
func (m *Module) postpone(times ...*Time) {
	for _, t := range times {
		*t = min(*t+m.now-m.drainedAt, m.now)
	}
}
