package sizer

import (
	"runtime"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/ownership/controller"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
)

// Directory is what the directory of all groups costs one daemon.
type Directory struct {
	groups      int
	members     int
	shards      int
	recordBytes int
	heap        uint64
	learn       time.Duration
}

// Groups returns the number of groups.
func (directory Directory) Groups() int { return directory.groups }

// Members returns the number of members of each group.
func (directory Directory) Members() int { return directory.members }

// Shards returns the number of shards of each group.
func (directory Directory) Shards() int { return directory.shards }

// RecordBytes returns the size of one record in the store and in messages.
func (directory Directory) RecordBytes() int { return directory.recordBytes }

// Heap returns the memory of the whole directory.
func (directory Directory) Heap() uint64 { return directory.heap }

// Learn returns the processor time to learn one changed record.
func (directory Directory) Learn() time.Duration { return directory.learn }

// MeasureDirectory lets one daemon that is in no group learn all records, and then a change of each.
func MeasureDirectory(groups, members, shards int) (Directory, error) {
	first, err := listingOf(groups, members, shards, 1)
	if err != nil {
		return Directory{}, err
	}
	var changes []lagoonlanding.Entry
	for group := range groups {
		_, entry, err := recordOf(group, members, shards, 2, uint64(groups+group+3))
		if err != nil {
			return Directory{}, err
		}
		changes = append(changes, entry)
	}
	before := heap()
	daemon := controller.New(controller.Config{
		Self: instanceOf(9999, 0), Now: start, Placer: placer.NewRendezvous(), Records: encoder.Records{}, Sets: encoder.Sets{},
	})
	daemon.Watched(start, first, nil)
	began := processor()
	for i, entry := range changes {
		listing := lagoonlanding.NewListing([]lagoonlanding.Entry{entry}, uint64(groups+i+3))
		daemon.Watched(start.Add(time.Second), listing, nil)
		_ = daemon.TakeOutbox()
		_ = daemon.Snapshot()
	}
	learn := (processor() - began) / time.Duration(groups)
	result := Directory{
		groups: groups, members: members, shards: shards, recordBytes: len(changes[0].Value()), learn: learn, heap: heap() - before,
	}
	runtime.KeepAlive(daemon)
	runtime.KeepAlive(first)
	runtime.KeepAlive(changes)
	return result, nil
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
