package demonstrator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lagoonlanding.example/demo/caller"
	"lagoonlanding.example/demo/deployer"
)

const (
	sampledKeys   = 200
	sampleReaders = 8
	readDeadline  = time.Second
	readRetries   = 20
	readInterval  = 100 * time.Millisecond
)

// Owners maps keys of the sharded service to the names of the daemons that own them.
type Owners map[string]string

// Sample reads the sampled keys through one daemon and returns their owners; the owner of a key that is not served is empty.
func Sample(ctx context.Context, client *caller.Client, plan deployer.Plan, instance deployer.Instance) Owners {
	owners := make(Owners)
	var mutex sync.Mutex
	var readers sync.WaitGroup
	for reader := range sampleReaders {
		readers.Go(func() {
			for number := reader; number < sampledKeys; number += sampleReaders {
				key := fmt.Sprintf("k-%d", number)
				owner := readOwner(ctx, client, plan, instance, key)
				mutex.Lock()
				owners[key] = owner
				mutex.Unlock()
			}
		})
	}
	readers.Wait()
	return owners
}

func readOwner(ctx context.Context, client *caller.Client, plan deployer.Plan, instance deployer.Instance, key string) string {
	for range readRetries {
		if owner, ok := client.Read(ctx, instance, plan.Services()[0], plan.Tenants()[0], key, readDeadline); ok {
			return owner
		}
		select {
		case <-ctx.Done():
			return ""
		case <-time.After(readInterval):
		}
	}
	return ""
}

// Busiest returns the daemon that owns the most of the sampled keys.
func (owners Owners) Busiest() string {
	busiest, most := "", 0
	for owner, count := range owners.counts() {
		if count > most || count == most && owner < busiest {
			busiest, most = owner, count
		}
	}
	return busiest
}

// KeysOf returns at most limit keys that the owner owns.
func (owners Owners) KeysOf(owner string, limit int) []string {
	var keys []string
	for number := range sampledKeys {
		key := fmt.Sprintf("k-%d", number)
		if owners[key] == owner && len(keys) < limit {
			keys = append(keys, key)
		}
	}
	return keys
}

// Imbalance returns the number of keys of the busiest owner divided by the mean.
func (owners Owners) Imbalance() float64 {
	counts := owners.counts()
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	if len(owners) == 0 {
		return 0
	}
	return float64(most) * float64(len(counts)) / float64(len(owners))
}

// Moved returns the number of keys that have a different owner in the later sample.
func (owners Owners) Moved(later Owners) int {
	moved := 0
	for key, owner := range owners {
		if later[key] != owner {
			moved++
		}
	}
	return moved
}

func (owners Owners) counts() map[string]int {
	counts := make(map[string]int)
	for _, owner := range owners {
		counts[owner]++
	}
	return counts
}
