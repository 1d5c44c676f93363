package main

import (
	"sync"
	"time"
)

// pressureLog bounds the log lines on memory.
type pressureLog struct {
	mutex sync.Mutex
	dueAt time.Time
}

// isDue reports whether a line may be written now.
func (pressurelog *pressureLog) isDue(now time.Time) bool {
	pressurelog.mutex.Lock()
	defer pressurelog.mutex.Unlock()
	if now.Before(pressurelog.dueAt) {
		return false
	}
	pressurelog.dueAt = now.Add(pressureLogInterval)
	return true
}
