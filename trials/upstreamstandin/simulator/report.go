package simulator

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

type timedReport struct {
	at     time.Time
	report lagoonlanding.UpstreamReport
}

// RecordLoad records the current load for later reports.
func (server *Server) RecordLoad(now time.Time) {
	report := lagoonlanding.NewUpstreamReport(!server.draining, server.running+len(server.queue), server.config.Slots)
	server.reports = append(server.reports, timedReport{at: now, report: report})
	server.pruneReports(now)
}

// Report returns the load as it was one ReportLag ago.
func (server *Server) Report(now time.Time) lagoonlanding.UpstreamReport {
	server.RecordLoad(now)
	return server.reports[0].report
}

// pruneReports drops all reports older than the newest one that is at least ReportLag old.
func (server *Server) pruneReports(now time.Time) {
	latest := now.Add(-server.config.ReportLag)
	for len(server.reports) > 1 && !server.reports[1].at.After(latest) {
		server.reports = server.reports[1:]
	}
}
