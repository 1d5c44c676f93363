package picker

import (
	"sync"
	"time"
)

// LinkConfig bounds what requests may send over the link between regions.
type LinkConfig struct {
	// BytesPerSecond is the rate of the budget, zero for none.
	BytesPerSecond int
	// Burst is how many bytes may be saved up.
	Burst int
}

// Link is the byte budget of this instance on the link between regions; it is safe for use by many goroutines.
type Link struct {
	config LinkConfig

	mutex   sync.Mutex
	tokens  float64
	updated time.Time
}

// NewLink returns a link with a full budget.
func NewLink(config LinkConfig) *Link {
	return &Link{config: config, tokens: float64(config.Burst)}
}

// HasRoom reports whether the budget bears so many bytes now.
func (link *Link) HasRoom(now time.Time, size int) bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.refill(now)
	return link.config.BytesPerSecond == 0 || link.tokens >= float64(size)
}

// Spend takes bytes that have been sent or received from the budget; answers may overdraw it, which later requests wait out.
func (link *Link) Spend(now time.Time, size int) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.refill(now)
	link.tokens -= float64(size)
}

func (link *Link) refill(now time.Time) {
	if elapsed := now.Sub(link.updated); elapsed > 0 && !link.updated.IsZero() {
		link.tokens = min(link.tokens+elapsed.Seconds()*float64(link.config.BytesPerSecond), float64(link.config.Burst))
	}
	link.updated = now
}
