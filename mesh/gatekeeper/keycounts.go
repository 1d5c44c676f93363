package gatekeeper

import "lagoonlanding.example/lagoonlanding"

// keyCounts counts the running and waiting tasks of each shard key.
type keyCounts map[int]int

func newKeyCounts() keyCounts { return keyCounts{} }

func (keycounts keyCounts) increment(key int) {
	if key != lagoonlanding.NoShardKey {
		keycounts[key]++
	}
}

func (keycounts keyCounts) decrement(key int) {
	if keycounts[key]--; keycounts[key] <= 0 {
		delete(keycounts, key)
	}
}

// count returns how many tasks for the key run or wait; it is always zero without a key, so such tasks stay in order of arrival.
func (keycounts keyCounts) count(key int) int { return keycounts[key] }
