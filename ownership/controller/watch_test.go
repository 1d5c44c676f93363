package controller

import (
	"testing"
	"time"
)

// TestWatchesOfBusyStoreAreLimited lets every watch return immediately, as happens while other groups change.
func TestWatchesOfBusyStoreAreLimited(t *testing.T) {
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
			node.Watched(now, node.directory.entriesAfter(node.Revision()), nil)
		}
	}
	if watches > 5*seconds {
		t.Errorf("%d watches in %d s", watches, seconds)
	}
}
