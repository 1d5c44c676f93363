package main

import (
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
	"lagoonlanding.example/lagoonlanding/mesh/recorder"
)

const (
	// budgetShare is the fraction of the process's memory limit that the daemon holds at most, with its baseline. Above it the garbage collector
	// needs room up to its own limit (memoryLimitShare) to run seldom, and the rest is for what the runtime and the system add.
	budgetShare = 0.5
	// baselineBytes is what a daemon holds without traffic, as stated for control.
	baselineBytes = 32 << 20
	// minBudgetBytes is the least budget, however small the process's limit is.
	minBudgetBytes = 16 << 20
	// pressureLogInterval is the least time between two log lines on a budget near its limit.
	pressureLogInterval = time.Second
)

// budgetLimit returns the budget in bytes for a memory limit of the process, zero for none.
func budgetLimit(memoryLimit int64) int64 {
	if memoryLimit <= 0 {
		return 0
	}
	return max(int64(float64(memoryLimit)*budgetShare)-baselineBytes, minBudgetBytes)
}

// newBudget returns the memory budget of the process; without overload control it only counts.
func (daemon *daemon) newBudget() *budgeter.Budget {
	limit := int64(0)
	if daemon.settings.HasOverloadControl() {
		limit = budgetLimit(daemon.settings.MemoryLimit())
	}
	var pressure pressureLog
	return budgeter.New(budgeter.Config{Limit: limit, OnPressure: func(state budgeter.Pressure) {
		if pressure.isDue(time.Now()) {
			daemon.logFor("memory").WithFields(logrus.Fields{
				"held": state.Held, "limit": state.Limit, "slow-readers": state.SlowReaders, "slow-senders": state.SlowSenders, "idle": state.Idle, "refused-in-total": state.Refused,
				"unread-in-total": state.Unread,
			}).Warn("Memory budget is nearly exhausted.")
		}
	}})
}

// newServerBytes returns the bound on the bytes that the backend server holds, nil without overload control.
func (daemon *daemon) newServerBytes() *budgeter.ServerBytes {
	if !daemon.settings.HasOverloadControl() {
		return nil
	}
	return budgeter.NewServerBytes()
}

// memoryReport returns the state of the memory for metrics.
func (daemon *daemon) memoryReport() recorder.MemoryReport {
	report := recorder.MemoryReport{Usage: daemon.memory.Usage()}
	if daemon.serverBytes != nil {
		report.ServerHeld, report.ServerLimit, report.ServerRefused = daemon.serverBytes.State()
	}
	return report
}
