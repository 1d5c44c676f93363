package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a run: what was sent, answered and run.
type record struct {
	mutex    sync.Mutex
	file     *os.File
	began    time.Time
	breaches int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// note writes one line with the time since the start of the run.
func (record *record) note(format string, args ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...))
}

// breach notes that a rule was broken.
func (record *record) breach(format string, args ...any) {
	record.note("BROKEN "+format, args...)
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.breaches++
}

// count returns the number of breaches.
func (record *record) count() int {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return record.breaches
}
