package routing

import (
	"time"

	"waxwingplank/internal/core/table"
)

type demandKey struct {
	service   table.ServiceID
	workspace table.WorkspaceID
	priority  int
}

type demandRow struct{ running, queued int }

func (s *System) addDemand(r *request, running, queued int) {
	key := demandKey{r.cfg.Service, r.cfg.Workspace, r.cfg.Priority}
	row, _ := s.demands.Get(key)
	row.running += running
	row.queued += queued
	s.demands.Put(key, row)
}

// reportDemand emits a Demand decision for each row that changed since the last report.
func (s *System) reportDemand(now time.Time) {
	if now.Sub(s.demandReportedAt) < s.demandInterval {
		return
	}
	s.demandReportedAt = now
	for _, key := range s.demands.TakeChanged() {
		row, ok := s.demands.Get(key)
		if !ok {
			continue
		}
		s.decisions = append(s.decisions, Demand{key: key, row: row})
		if row == (demandRow{}) {
			s.demands.Delete(key)
		}
	}
}
