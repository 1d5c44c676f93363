package controller

import (
	"testing"
	"time"
)

// TestWatchesOfABusyStoreAreFewEnough lets the store answer every watch at once, as it does while other groups change.
func TestWatchesOfABusyStoreAreFewEnough(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.run(5 * time.Second)
	node := cluster.nodes[cluster.order[0]]
	node.TakeOutbox()
	watches := 0
	const seconds = 10
	for step := range seconds * 1000 {
		now := cluster.now.Add(time.Duration(step) * time.Millisecond)
		if step%100 == 0 {
			node.Tick(now)
		}
		if outbox := node.TakeOutbox(); outbox.WantsWatch() || step == 0 {
			watches++
			node.Watched(now, node.directory.after(node.Revision()), nil)
		}
	}
	if watches > 5*seconds {
		t.Errorf("%d watches in %d s", watches, seconds)
	}
}
