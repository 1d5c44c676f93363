package controller

import (
	"fmt"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// maxDifferences bounds the number of stored differences; an instance that is further behind gets the complete set.
const maxDifferences = 32

// difference is the encoded change of the published set between two store revisions.
type difference struct {
	base     uint64
	revision uint64
	value    []byte
}

// replaceSet stores a newer published set and the difference from the previous one.
func (directory *directory) replaceSet(entry lagoonlanding.Entry, set *publisher.Set) {
	directory.recordDifference(entry, set)
	directory.entries[entry.Key()] = entry
	directory.set = set
}

func (directory *directory) recordDifference(entry lagoonlanding.Entry, set *publisher.Set) {
	if directory.differ == nil || directory.set == nil {
		return
	}
	value, err := directory.differ.Difference(directory.set, set)
	if err != nil || len(value) >= len(entry.Value()) {
		// Earlier differences can no longer be chained to the current set.
		directory.differences = nil
		return
	}
	directory.differences = append(directory.differences, difference{
		base: directory.entries[lagoonlanding.SetKey].Revision(), revision: entry.Revision(), value: value,
	})
	if len(directory.differences) > maxDifferences {
		directory.differences = directory.differences[1:]
	}
}

// differencesAfter returns the differences from the set at the given revision to the current one.
// It returns nil if they are incomplete or larger than the complete set.
func (directory *directory) differencesAfter(revision uint64) []lagoonlanding.Entry {
	var entries []lagoonlanding.Entry
	size := 0
	for _, difference := range directory.differences {
		if difference.revision <= revision {
			continue
		}
		if len(entries) == 0 && difference.base > revision {
			return nil
		}
		entries = append(entries, lagoonlanding.NewEntry(lagoonlanding.SetDifferenceKey, difference.value, difference.revision))
		size += len(difference.value)
	}
	if size >= len(directory.entries[lagoonlanding.SetKey].Value()) {
		return nil
	}
	return entries
}

// applyDifference applies a difference to the current published set.
func (directory *directory) applyDifference(entry lagoonlanding.Entry) (update, error) {
	if directory.entries[lagoonlanding.SetKey].Revision() >= entry.Revision() {
		return update{}, nil
	}
	if directory.differ == nil {
		return update{}, fmt.Errorf("received a set difference although differences are not supported")
	}
	set, err := directory.differ.Apply(directory.set, entry.Value())
	if err != nil {
		return update{}, fmt.Errorf("apply the difference to the published set: %w", err)
	}
	value, err := directory.sets.Encode(set)
	if err != nil {
		return update{}, fmt.Errorf("encode the published set: %w", err)
	}
	directory.replaceSet(lagoonlanding.NewEntry(lagoonlanding.SetKey, value, entry.Revision()), set)
	return update{isSet: true}, nil
}
