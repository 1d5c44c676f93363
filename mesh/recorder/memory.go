package recorder

import "lagoonlanding.example/lagoonlanding/mesh/budgeter"

// MemoryReport is what a daemon holds in memory, and what its backend server holds as far as that is known.
type MemoryReport struct {
	// Usage is that of the daemon's budget.
	Usage budgeter.Usage
	// ServerHeld and ServerLimit are in bytes; ServerRefused counts tasks.
	ServerHeld, ServerLimit, ServerRefused int64
}

// reportMemory updates the metrics of memory.
func (recorder *Recorder) reportMemory(report MemoryReport) {
	scope := recorder.scope.SubScope("memory")
	for _, kind := range budgeter.Kinds() {
		tagged := scope.Tagged(map[string]string{"kind": kind.String()})
		tagged.Gauge("held_bytes").Update(float64(report.Usage.Held[kind]))
		tagged.Gauge("denied_bytes").Update(float64(report.Usage.Denied[kind]))
	}
	for name, value := range map[string]int64{
		"total_bytes": report.Usage.Total, "peak_bytes": report.Usage.Peak, "limit_bytes": report.Usage.Limit, "refused": report.Usage.Refused,
		"server_held_bytes": report.ServerHeld, "server_limit_bytes": report.ServerLimit, "server_refused": report.ServerRefused,
	} {
		scope.Gauge(name).Update(float64(value))
	}
	for cause, count := range map[string]int64{
		"slow-reader": report.Usage.SlowReaders, "slow-sender": report.Usage.SlowSenders, "idle": report.Usage.Idle, "unread": report.Usage.Unread,
	} {
		scope.Tagged(map[string]string{"cause": cause}).Gauge("connections_ended").Update(float64(count))
	}
}
