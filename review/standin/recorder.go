package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mutex  sync.Mutex
	file   *os.File
	writer *bufio.Writer
	start  time.Time
	broken []string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, writer: bufio.NewWriter(file), start: time.Now()}, nil
}

// log writes one line.
func (recorder *recorder) log(format string, args ...any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.write(time.Now(), fmt.Sprintf(format, args...))
}

// note writes one line to the record and to standard output.
func (recorder *recorder) note(format string, args ...any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	now, text := time.Now(), fmt.Sprintf(format, args...)
	recorder.write(now, text)
	fmt.Printf("%8.3f %s\n", now.Sub(recorder.start).Seconds(), text)
}

// breaks records that the rule was broken.
func (recorder *recorder) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	recorder.note("BROKEN %s", text)
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.broken = append(recorder.broken, text)
}

func (recorder *recorder) write(now time.Time, text string) {
	fmt.Fprintf(recorder.writer, "%8.3f %s\n", now.Sub(recorder.start).Seconds(), text)
}

// since returns the seconds from the start to a time.
func (recorder *recorder) since(at time.Time) float64 { return at.Sub(recorder.start).Seconds() }

// isBroken reports whether the rule was broken.
func (recorder *recorder) isBroken() bool {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return len(recorder.broken) > 0
}

func (recorder *recorder) close() {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if err := recorder.writer.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "standin: write the record:", err)
	}
	recorder.file.Close()
}
