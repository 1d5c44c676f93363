package scheduler

import "time"

// The bounds by which slow classes leave room for the others.
const (
	// slowRatio makes a class slow whose mean service time is this many times that of the quickest class.
	slowRatio = 4
	// meanWeight is the share of a new service time in a class's mean, as its inverse.
	meanWeight = 32
	// unknownMean is the mean service time of a class before its first request has ended.
	unknownMean = 5 * time.Millisecond
)

// Classes keeps the mean service time of each class and how many slots the slow classes take.
//
// No order of a queue helps those behind slow requests once these hold all slots, so slow classes leave some slots free.
type Classes struct {
	slowSlots int
	means     map[string]time.Duration
	running   map[string]int
}

// NewClasses returns the account of the classes at a backend server of which slow ones take at most slowSlots slots, zero for all.
func NewClasses(slowSlots int) *Classes {
	return &Classes{slowSlots: slowSlots, means: map[string]time.Duration{}, running: map[string]int{}}
}

// Mean returns the mean service time of the class.
func (classes *Classes) Mean(class string) time.Duration {
	if mean, ok := classes.means[class]; ok {
		return mean
	}
	return unknownMean
}

// MayStart reports whether a request of the class may take a slot without crowding out the quicker classes.
func (classes *Classes) MayStart(class string) bool {
	return classes.slowSlots == 0 || !classes.isSlow(class) || classes.slow() < classes.slowSlots
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
	classes.means[class] = mean + (took-mean)/meanWeight
}

// slow returns how many slots the slow classes take.
func (classes *Classes) slow() int {
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
	quickest := mean
	for _, other := range classes.means {
		quickest = min(quickest, other)
	}
	return mean >= slowRatio*quickest
}
