package holder

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

type shardState uint8

const (
	stateAbsent shardState = iota
	stateAcquiring
	stateServing
	stateDraining
)

// shard is this member's state of one shard.
type shard struct {
	state shardState
	// peer is the previous owner while acquiring and the next owner while draining.
	peer lagoonlanding.InstanceID
	// handedOverBy is the previous owner if it handed the shard over under the adopted layout.
	handedOverBy lagoonlanding.InstanceID
	// token is the fencing token, which is the version of the layout under which the shard was last taken over.
	token uint64
	// since is the store revision from which the shard's deduplication records are complete.
	since uint64
	// servableAt is when a shard that is being acquired may be served, zero while its previous owner is not cleared.
	servableAt time.Time
}

func (shard *shard) serve(token, since uint64) {
	if token < shard.token {
		panic(fmt.Sprintf("holder: fencing token decreased from %d to %d", shard.token, token))
	}
	shard.state = stateServing
	shard.token = token
	shard.since = since
	shard.servableAt = time.Time{}
	shard.peer = lagoonlanding.InstanceID{}
}

func (shard *shard) acquire(from lagoonlanding.InstanceID) {
	shard.state = stateAcquiring
	shard.peer = from
	shard.servableAt = time.Time{}
}

func (shard *shard) drain(to lagoonlanding.InstanceID) {
	shard.state = stateDraining
	shard.peer = to
}

func (shard *shard) drop() {
	shard.state = stateAbsent
	shard.peer = lagoonlanding.InstanceID{}
	shard.servableAt = time.Time{}
}
