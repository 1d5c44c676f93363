package performer

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

type datedReport struct {
	at     time.Time
	report lagoonlanding.UpstreamReport
}

// Observe notes the load, so that a later report can tell of it.
func (server *Server) Observe(now time.Time) {
	report := lagoonlanding.NewUpstreamReport(!server.draining, server.running+len(server.waiting), server.config.Slots)
	server.reports = append(server.reports, datedReport{at: now, report: report})
	server.forget(now)
}

// Report returns the load as it was before the lag of the reports.
func (server *Server) Report(now time.Time) lagoonlanding.UpstreamReport {
	server.Observe(now)
	return server.reports[0].report
}

// forget keeps the newest report that is old enough and all younger ones.
func (server *Server) forget(now time.Time) {
	until := now.Add(-server.config.ReportLag)
	for len(server.reports) > 1 && !server.reports[1].at.After(until) {
		server.reports = server.reports[1:]
	}
}
