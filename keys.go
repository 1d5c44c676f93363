package lagoonlanding

import "strings"

// The names of the store's entries.
const (
	// StorePrefix starts every key of the router in the store.
	StorePrefix = "lagoonlanding/"
	// SetKey is the entry of the published set.
	SetKey = StorePrefix + "set"
	// SetDifferenceKey marks differences between published sets in answers of other instances; the store holds no such entry.
	SetDifferenceKey = StorePrefix + "set-difference"
	// GroupPrefix starts the keys of the groups' records.
	GroupPrefix = StorePrefix + "groups/"
	// HistoryPrefix starts the keys of earlier published sets.
	HistoryPrefix = "lagoonlanding-history/"
)

// GroupKey returns the key of a group's record in the store.
func GroupKey(group GroupID) string {
	return GroupPrefix + group.Service() + "/" + group.Partition()
}

// ParseGroupKey returns the group whose record stands under the key.
func ParseGroupKey(key string) (GroupID, bool) {
	rest, ok := strings.CutPrefix(key, GroupPrefix)
	if !ok {
		return GroupID{}, false
	}
	service, partition, ok := strings.Cut(rest, "/")
	if !ok || service == "" || partition == "" || strings.Contains(partition, "/") {
		return GroupID{}, false
	}
	return NewGroupID(service, partition), true
}
