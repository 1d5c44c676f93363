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

// shard is one shard as this member sees it.
type shard struct {
	state shardState
	// peer is the prior owner while acquiring and the next one while draining.
	peer lagoonlanding.InstanceID
	// takenFrom is the owner that handed the shard over under the adopted layout.
	takenFrom lagoonlanding.InstanceID
	token     uint64
	since     uint64
	servesAt  time.Time
}

func (shard *shard) serve(token, since uint64) {
	if token < shard.token {
		panic(fmt.Sprintf("fencing token sank from %d to %d", shard.token, token))
	}
	shard.state = stateServing
	shard.token = token
	shard.since = since
	shard.servesAt = time.Time{}
	shard.peer = lagoonlanding.InstanceID{}
}

func (shard *shard) acquire(from lagoonlanding.InstanceID) {
	shard.state = stateAcquiring
	shard.peer = from
	shard.servesAt = time.Time{}
}

func (shard *shard) drain(to lagoonlanding.InstanceID) {
	shard.state = stateDraining
	shard.peer = to
}

func (shard *shard) drop() {
	shard.state = stateAbsent
	shard.peer = lagoonlanding.InstanceID{}
	shard.servesAt = time.Time{}
}
