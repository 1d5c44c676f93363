package deduplicator

import (
	"container/heap"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonlanding.example/lagoonlanding"
)

type entry struct {
	shard    lagoonlanding.ShardID
	key      string
	digest   uint64
	expires  time.Time
	done     bool
	reply    lagoonlanding.Reply
	finished chan struct{}
	index    int
}

// size returns the size of the stored reply in bytes.
func (entry *entry) size() int {
	size := len(entry.reply.Body())
	for _, header := range entry.reply.Headers() {
		size += len(header.Name()) + len(header.Value())
	}
	return size
}

func (entry *entry) finish(reply lagoonlanding.Reply) {
	entry.done = true
	entry.reply = reply
	close(entry.finished)
}

// entryKey scopes the idempotency key to the tenant and the workspace of the request.
func entryKey(request lagoonlanding.Request) string {
	return request.Tenant() + "\x00" + request.Key().Workspace() + "\x00" + request.IdempotencyKey()
}

func digest(request lagoonlanding.Request) uint64 {
	hash := xxhash.New()
	for _, part := range []string{request.Method(), request.Path()} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(request.Body())
	return max(hash.Sum64(), 1)
}

// expiry is a heap of the entries, ordered by expiry time.
type expiry []*entry

var _ heap.Interface = (*expiry)(nil)

// Len returns the number of entries.
func (expiry expiry) Len() int { return len(expiry) }

// Less reports whether entry i expires before entry j.
func (expiry expiry) Less(i, j int) bool { return expiry[i].expires.Before(expiry[j].expires) }

// Swap exchanges two entries.
func (expiry expiry) Swap(i, j int) {
	expiry[i], expiry[j] = expiry[j], expiry[i]
	expiry[i].index = i
	expiry[j].index = j
}

// Push appends an entry.
func (expiry *expiry) Push(added any) {
	entry := added.(*entry)
	entry.index = len(*expiry)
	*expiry = append(*expiry, entry)
}

// Pop removes the last entry.
func (expiry *expiry) Pop() any {
	last := len(*expiry) - 1
	entry := (*expiry)[last]
	(*expiry)[last] = nil
	*expiry = (*expiry)[:last]
	return entry
}
