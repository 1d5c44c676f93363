package sizer

import (
	"runtime"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/controller"
	"lagoonlanding.example/lagoonlanding/encoder"
	"lagoonlanding.example/lagoonlanding/placer"
)

// Directory is what the directory of all groups costs one daemon.
type Directory struct {
	Groups  int
	Members int
	Shards  int
	// RecordBytes is the size of one record in the store and in messages.
	RecordBytes int
	// Heap is the memory of the whole directory.
	Heap uint64
	// Learn is the processor time to learn one changed record.
	Learn time.Duration
}

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
		Groups: groups, Members: members, Shards: shards, RecordBytes: len(changes[0].Value()), Learn: learn, Heap: heap() - before,
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
