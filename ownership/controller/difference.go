package controller

import (
	"fmt"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// maxDifferences bounds the kept differences; an instance that missed more gets the whole set.
const maxDifferences = 32

// difference leads from the set at one store revision to the next.
type difference struct {
	base     uint64
	revision uint64
	value    []byte
}

// takeSet makes the set the known one and keeps the difference to the one before it.
func (directory *directory) takeSet(entry lagoonlanding.Entry, set *publisher.Set) {
	directory.keepDifference(entry, set)
	directory.entries[entry.Key()] = entry
	directory.set = set
}

func (directory *directory) keepDifference(entry lagoonlanding.Entry, set *publisher.Set) {
	if directory.differ == nil || directory.set == nil {
		return
	}
	value, err := directory.differ.Difference(directory.set, set)
	if err != nil || len(value) >= len(entry.Value()) {
		// Without this step no earlier difference leads to the known set.
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

// differencesAfter returns what leads from the set that was known at the revision to the known one; it is empty if the whole
// set is needed, or shorter.
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

// learnDifference applies a difference to the known set.
func (directory *directory) learnDifference(entry lagoonlanding.Entry) (news, error) {
	if directory.entries[lagoonlanding.SetKey].Revision() >= entry.Revision() {
		return news{}, nil
	}
	if directory.differ == nil {
		return news{}, fmt.Errorf("a difference of sets came to an instance that asks for whole ones")
	}
	set, err := directory.differ.Apply(directory.set, entry.Value())
	if err != nil {
		return news{}, fmt.Errorf("apply the difference to the published set: %w", err)
	}
	value, err := directory.sets.Encode(set)
	if err != nil {
		return news{}, fmt.Errorf("encode the published set: %w", err)
	}
	directory.takeSet(lagoonlanding.NewEntry(lagoonlanding.SetKey, value, entry.Revision()), set)
	return news{isSet: true}, nil
}
