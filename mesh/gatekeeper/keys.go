package gatekeeper

import "lagoonlanding.example/lagoonlanding"

// keys counts the tasks that run or wait for each shard key.
type keys map[int]int

func newKeys() keys { return keys{} }

func (keys keys) enter(key int) {
	if key != lagoonlanding.NoShardKey {
		keys[key]++
	}
}

func (keys keys) leave(key int) {
	if keys[key]--; keys[key] <= 0 {
		delete(keys, key)
	}
}

// count returns how many tasks for the key are here; tasks without a key are one after the other as they came.
func (keys keys) count(key int) int { return keys[key] }
