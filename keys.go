package lagoonlanding

import "strings"

// Keys and key prefixes in the store.
const (
	// StorePrefix is the prefix of the router's keys in the store.
	StorePrefix = "lagoonlanding/"
	// SetKey is the key of the published configuration set.
	SetKey = StorePrefix + "set"
	// SetDifferenceKey marks a difference between published sets in replies of other instances; the store has no such key.
	SetDifferenceKey = StorePrefix + "set-difference"
	// GroupPrefix is the key prefix of the groups' records.
	GroupPrefix = StorePrefix + "groups/"
	// HistoryPrefix is the key prefix of earlier published sets.
	HistoryPrefix = "lagoonlanding-history/"
)

// GroupKey returns the store key of a group's record.
func GroupKey(group GroupID) string {
	return GroupPrefix + group.Service() + "/" + group.Partition()
}

// ParseGroupKey returns the group whose record has the given key.
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
