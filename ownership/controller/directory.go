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

// directory is what this instance knows of the store.
type directory struct {
	records lagoonlanding.Codec[lagoonlanding.Record]
	sets    lagoonlanding.Codec[*publisher.Set]
	placer  lagoonlanding.Placer
	entries map[string]lagoonlanding.Entry
	groups  map[lagoonlanding.GroupID]router.Group
	set     *publisher.Set
	differ  lagoonlanding.Differ[*publisher.Set]
	// differences lead from earlier sets to the known one, the oldest first.
	differences []difference
	revision    uint64
	// changes counts the changes of groups.
	changes uint64
	// candidates are the active members of all groups, nil after a change.
	candidates []lagoonlanding.Instance
}

func newDirectory(config Config) *directory {
	return &directory{
		records: config.Records, sets: config.Sets, placer: config.Placer, differ: config.Differences,
		entries: make(map[string]lagoonlanding.Entry),
		groups:  make(map[lagoonlanding.GroupID]router.Group),
	}
}

// news is what a learned entry changes.
type news struct {
	record  lagoonlanding.Record
	isGroup bool
	isSet   bool
}

// learn takes an entry if it is newer than the known one.
func (directory *directory) learn(entry lagoonlanding.Entry) (news, error) {
	known, ok := directory.entries[entry.Key()]
	if ok && known.Revision() >= entry.Revision() {
		return news{}, nil
	}
	switch entry.Key() {
	case lagoonlanding.SetKey:
		return directory.learnSet(entry)
	case lagoonlanding.SetDifferenceKey:
		return directory.learnDifference(entry)
	}
	if _, ok := lagoonlanding.ParseGroupKey(entry.Key()); !ok {
		return news{}, nil
	}
	record, err := directory.records.Decode(entry)
	if err != nil {
		return news{}, fmt.Errorf("decode the record %s: %w", entry.Key(), err)
	}
	if known, ok := directory.groups[record.Group()]; ok && known.Record().Version() >= record.Version() {
		return news{}, fmt.Errorf("layout %d of %s does not follow %d", record.Version(), record.Group(), known.Record().Version())
	}
	directory.learnRecord(entry, record)
	return news{record: record, isGroup: true}, nil
}

func (directory *directory) learnRecord(entry lagoonlanding.Entry, record lagoonlanding.Record) {
	directory.entries[entry.Key()] = entry
	// Snapshots share the map, so it is replaced and never changed.
	groups := make(map[lagoonlanding.GroupID]router.Group, len(directory.groups)+1)
	for id, group := range directory.groups {
		groups[id] = group
	}
	groups[record.Group()] = router.NewGroup(record, directory.placer.Place(record.Current()))
	directory.groups = groups
	directory.changes++
	directory.candidates = nil
}

func (directory *directory) learnSet(entry lagoonlanding.Entry) (news, error) {
	set, err := directory.sets.Decode(entry)
	if err != nil {
		return news{}, fmt.Errorf("decode the published set: %w", err)
	}
	if directory.set != nil && set.Version() <= directory.set.Version() {
		return news{}, fmt.Errorf("published set %d does not follow %d", set.Version(), directory.set.Version())
	}
	directory.takeSet(entry, set)
	return news{isSet: true}, nil
}

// entry returns the store's form of a record that another instance has told.
func (directory *directory) entry(record lagoonlanding.Record) (lagoonlanding.Entry, error) {
	value, err := directory.records.Encode(record)
	if err != nil {
		return lagoonlanding.Entry{}, fmt.Errorf("encode the record of %s: %w", record.Group(), err)
	}
	return lagoonlanding.NewEntry(lagoonlanding.GroupKey(record.Group()), value, record.Revision()), nil
}

// after returns the entries that are newer than the revision, ordered by key.
func (directory *directory) after(revision uint64) lagoonlanding.Listing {
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

// instances returns the active members of all groups, ordered and each once.
func (directory *directory) instances() []lagoonlanding.Instance {
	if directory.candidates == nil {
		directory.candidates = directory.collectInstances()
	}
	return directory.candidates
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
