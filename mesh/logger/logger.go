package logger

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// queueLength bounds the lines that wait to be written.
const queueLength = 1024

// Config holds what a Logger is built from.
type Config struct {
	// Output is where lines go.
	Output io.Writer
	// Level is the least severe level that is written.
	Level logrus.Level
}

// Logger queues lines and drops those for which there is no room.
type Logger struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	ended   sync.WaitGroup
}

// New returns a log whose lines are queued, and the queue, which Close empties.
func New(config Config) (*logrus.Logger, *Logger) {
	logger := &Logger{output: config.Output, lines: make(chan []byte, queueLength)}
	logger.ended.Go(logger.run)
	log := logrus.New()
	log.SetOutput(logger)
	log.SetLevel(config.Level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return log, logger
}

// Write queues a line, or drops it if the output is too slow.
func (logger *Logger) Write(line []byte) (int, error) {
	select {
	case logger.lines <- append([]byte(nil), line...):
	default:
		logger.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (logger *Logger) Dropped() uint64 { return logger.dropped.Load() }

// Close writes what is queued; no line may follow.
func (logger *Logger) Close() {
	close(logger.lines)
	logger.ended.Wait()
}

func (logger *Logger) run() {
	for line := range logger.lines {
		if _, err := logger.output.Write(line); err != nil {
			// Nobody reads the output, and there is no other place to say so.
			logger.dropped.Add(1)
		}
	}
}
