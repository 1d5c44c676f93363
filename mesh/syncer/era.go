package syncer

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
)

// errEarlierEra means that a source has not received the changes of the era of the store that this daemon knows.
var errEarlierEra = fmt.Errorf("%w: the source is in an earlier era", lagoonlanding.ErrStoreDisconnected)

// EraBegan records that an answer of the store shows a later era: the store was restored from a copy. Views of the store list it again, and the
// control state writes its entries again.
func (syncer *Syncer) EraBegan(era uint64) {
	syncer.mutex.Lock()
	syncer.era = max(syncer.era, era)
	syncer.mutex.Unlock()
	syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.BeginEra(now, era) })
}

// currentEra returns the latest era of the store that an answer of the store has shown.
func (syncer *Syncer) currentEra() uint64 {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.era
}
