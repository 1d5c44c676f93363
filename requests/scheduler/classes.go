package scheduler

import "time"

// Parameters of the limit on slow classes and of the mean service times.
const (
	// slowRatio is the ratio of mean service times to that of the fastest class from which on a class is slow.
	slowRatio = 4
	// meanSmoothing is the reciprocal of the weight of a new service time in the mean of its class.
	meanSmoothing = 32
	// defaultMean is the assumed mean service time of a class before its first request has finished.
	defaultMean = 5 * time.Millisecond
)

// Classes tracks the mean service time of each class and limits the slots of the slow classes.
//
// Once slow requests occupy all slots, no scheduling policy can help the requests behind them, so some slots are reserved.
type Classes struct {
	slowSlots int
	means     map[string]time.Duration
	running   map[string]int
}

// NewClasses returns the statistics of a backend server whose slow classes take at most slowSlots slots in total; zero means no limit.
func NewClasses(slowSlots int) *Classes {
	return &Classes{slowSlots: slowSlots, means: map[string]time.Duration{}, running: map[string]int{}}
}

// Mean returns the mean service time of the class.
func (classes *Classes) Mean(class string) time.Duration {
	if mean, ok := classes.means[class]; ok {
		return mean
	}
	return defaultMean
}

// MayStart reports whether a request of the class may take a slot under the limit on slow classes.
func (classes *Classes) MayStart(class string) bool {
	return classes.slowSlots == 0 || !classes.isSlow(class) || classes.slowRunning() < classes.slowSlots
}

func (classes *Classes) start(class string) { classes.running[class]++ }

func (classes *Classes) finish(class string, took time.Duration) {
	classes.running[class]--
	if classes.running[class] == 0 {
		delete(classes.running, class)
	}
	if took <= 0 {
		return
	}
	mean, ok := classes.means[class]
	if !ok {
		classes.means[class] = took
		return
	}
	classes.means[class] = mean + (took-mean)/meanSmoothing
}

// slowRunning returns the number of running requests of slow classes.
func (classes *Classes) slowRunning() int {
	count := 0
	for class, running := range classes.running {
		if classes.isSlow(class) {
			count += running
		}
	}
	return count
}

func (classes *Classes) isSlow(class string) bool {
	mean, ok := classes.means[class]
	if !ok {
		return false
	}
	fastest := mean
	for _, other := range classes.means {
		fastest = min(fastest, other)
	}
	return mean >= slowRatio*fastest
}
