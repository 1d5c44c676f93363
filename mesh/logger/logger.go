package logger

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// queueCapacity is the maximum number of queued lines.
const queueCapacity = 1024

// Config holds the output and the level of a log.
type Config struct {
	// Output is the destination of the lines.
	Output io.Writer
	// Level is the minimum severity of the lines.
	Level logrus.Level
}

// Logger queues lines for the output and drops them while the queue is full.
type Logger struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	writer  sync.WaitGroup
}

// New returns a log that writes JSON lines, and the queue behind it, which must be closed to flush the lines.
func New(config Config) (*logrus.Logger, *Logger) {
	logger := &Logger{output: config.Output, lines: make(chan []byte, queueCapacity)}
	logger.writer.Go(logger.writeLines)
	log := logrus.New()
	log.SetOutput(logger)
	log.SetLevel(config.Level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return log, logger
}

// Write queues a line, or drops it if the queue is full.
func (logger *Logger) Write(line []byte) (int, error) {
	select {
	case logger.lines <- append([]byte(nil), line...):
	default:
		logger.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (logger *Logger) Dropped() uint64 { return logger.dropped.Load() }

// Close writes the queued lines; Write must not be called afterwards.
func (logger *Logger) Close() {
	close(logger.lines)
	logger.writer.Wait()
}

func (logger *Logger) writeLines() {
	for line := range logger.lines {
		if _, err := logger.output.Write(line); err != nil {
			// The output is broken, so the error cannot be logged either.
			logger.dropped.Add(1)
		}
	}
}
