package controller

import (
	"fmt"
	"slices"
	"strings"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// directory is this instance's local copy of the store's entries.
type directory struct {
	records lagoonlanding.Codec[lagoonlanding.Record]
	sets    lagoonlanding.Codec[*publisher.Set]
	placer  lagoonlanding.Placer
	entries map[string]lagoonlanding.Entry
	groups  map[lagoonlanding.GroupID]router.Group
	set     *publisher.Set
	differ  lagoonlanding.Differ[*publisher.Set]
	// differences are the changes from earlier published sets to the current one, oldest first.
	differences []difference
	revision    uint64
	// changes counts the updates of groups.
	changes uint64
	// cachedInstances are the active members of all groups; nil if they must be collected again.
	cachedInstances []lagoonlanding.Instance
}

func newDirectory(config Config) *directory {
	return &directory{
		records: config.Records, sets: config.Sets, placer: config.Placer, differ: config.Differences,
		entries: make(map[string]lagoonlanding.Entry),
		groups:  make(map[lagoonlanding.GroupID]router.Group),
	}
}

// update describes the change that an entry made to the directory.
type update struct {
	record  lagoonlanding.Record
	isGroup bool
	isSet   bool
}

// applyEntry stores an entry if it is newer than the known one.
func (directory *directory) applyEntry(entry lagoonlanding.Entry) (update, error) {
	known, ok := directory.entries[entry.Key()]
	if ok && known.Revision() >= entry.Revision() {
		return update{}, nil
	}
	switch entry.Key() {
	case lagoonlanding.SetKey:
		return directory.applySet(entry)
	case lagoonlanding.SetDifferenceKey:
		return directory.applyDifference(entry)
	}
	if _, ok := lagoonlanding.ParseGroupKey(entry.Key()); !ok {
		return update{}, nil
	}
	record, err := directory.records.Decode(entry)
	if err != nil {
		return update{}, fmt.Errorf("decode the record %s: %w", entry.Key(), err)
	}
	if known, ok := directory.groups[record.Group()]; ok && known.Record().Version() >= record.Version() {
		return update{}, fmt.Errorf("layout version %d of %s is not newer than %d", record.Version(), record.Group(), known.Record().Version())
	}
	directory.applyRecord(entry, record)
	return update{record: record, isGroup: true}, nil
}

func (directory *directory) applyRecord(entry lagoonlanding.Entry, record lagoonlanding.Record) {
	directory.entries[entry.Key()] = entry
	// Published snapshots share the map, so it must be replaced rather than modified.
	groups := make(map[lagoonlanding.GroupID]router.Group, len(directory.groups)+1)
	for id, group := range directory.groups {
		groups[id] = group
	}
	groups[record.Group()] = router.NewGroup(record, directory.placer.Place(record.Current()))
	directory.groups = groups
	directory.changes++
	directory.cachedInstances = nil
}

func (directory *directory) applySet(entry lagoonlanding.Entry) (update, error) {
	set, err := directory.sets.Decode(entry)
	if err != nil {
		return update{}, fmt.Errorf("decode the published set: %w", err)
	}
	if directory.set != nil && set.Version() <= directory.set.Version() {
		return update{}, fmt.Errorf("published set version %d is not newer than %d", set.Version(), directory.set.Version())
	}
	directory.replaceSet(entry, set)
	return update{isSet: true}, nil
}

// entry encodes a record received from another instance as a store entry.
func (directory *directory) entry(record lagoonlanding.Record) (lagoonlanding.Entry, error) {
	value, err := directory.records.Encode(record)
	if err != nil {
		return lagoonlanding.Entry{}, fmt.Errorf("encode the record of %s: %w", record.Group(), err)
	}
	return lagoonlanding.NewEntry(lagoonlanding.GroupKey(record.Group()), value, record.Revision()), nil
}

// entriesAfter returns the entries newer than the revision, ordered by key, with differences in place of the published set if possible.
func (directory *directory) entriesAfter(revision uint64) lagoonlanding.Listing {
	var entries []lagoonlanding.Entry
	differences := directory.differencesAfter(revision)
	for _, entry := range directory.entries {
		if entry.Revision() > revision && (entry.Key() != lagoonlanding.SetKey || len(differences) == 0) {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b lagoonlanding.Entry) int { return strings.Compare(a.Key(), b.Key()) })
	entries = append(entries, differences...)
	return lagoonlanding.NewListing(entries, directory.revision)
}

func (directory *directory) record(id lagoonlanding.GroupID) (lagoonlanding.Record, bool) {
	group, ok := directory.groups[id]
	return group.Record(), ok
}

// activeInstances returns the distinct active members of all groups, ordered by identity.
func (directory *directory) activeInstances() []lagoonlanding.Instance {
	if directory.cachedInstances == nil {
		directory.cachedInstances = directory.collectInstances()
	}
	return directory.cachedInstances
}

func (directory *directory) collectInstances() []lagoonlanding.Instance {
	seen := make(map[lagoonlanding.InstanceID]lagoonlanding.Instance)
	for _, group := range directory.groups {
		for _, member := range group.Record().Current().Members() {
			if member.State() == lagoonlanding.MemberActive {
				seen[member.ID()] = member.Instance()
			}
		}
	}
	instances := make([]lagoonlanding.Instance, 0, len(seen))
	for _, instance := range seen {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b lagoonlanding.Instance) int {
		return grouper.CompareIDs(a.ID(), b.ID())
	})
	return instances
}
