package measurer

import (
	"runtime"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/ownership/controller"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
)

// Directory is the cost of the directory of all groups in one daemon.
type Directory struct {
	groups      int
	members     int
	shards      int
	recordBytes int
	heap        uint64
	applyTime   time.Duration
}

// Groups returns the number of groups.
func (directory Directory) Groups() int { return directory.groups }

// Members returns the number of members of each group.
func (directory Directory) Members() int { return directory.members }

// Shards returns the number of shards of each group.
func (directory Directory) Shards() int { return directory.shards }

// RecordBytes returns the size of one record in the store and in messages.
func (directory Directory) RecordBytes() int { return directory.recordBytes }

// HeapBytes returns the heap size of the whole directory in bytes.
func (directory Directory) HeapBytes() uint64 { return directory.heap }

// ApplyTime returns the CPU time to apply one changed record.
func (directory Directory) ApplyTime() time.Duration { return directory.applyTime }

// MeasureDirectory loads the records of all groups into the controller of a daemon that is a member of none, and then applies
// a change of each record.
func MeasureDirectory(groups, members, shards int) (Directory, error) {
	first, err := newListing(groups, members, shards, 1)
	if err != nil {
		return Directory{}, err
	}
	var changes []lagoonlanding.Entry
	for group := range groups {
		_, entry, err := newRecord(group, members, shards, 2, uint64(groups+group+3))
		if err != nil {
			return Directory{}, err
		}
		changes = append(changes, entry)
	}
	before := heapSize()
	daemon := controller.New(controller.Config{
		Self: newInstance(9999, 0), Now: start, Placer: placer.NewRendezvous(), Records: encoder.Records{}, Sets: encoder.Sets{},
	})
	daemon.Watched(start, first, nil)
	began := cpuTime()
	for i, entry := range changes {
		listing := lagoonlanding.NewListing([]lagoonlanding.Entry{entry}, uint64(groups+i+3))
		daemon.Watched(start.Add(time.Second), listing, nil)
		_ = daemon.TakeOutbox()
		_ = daemon.Snapshot()
	}
	applyTime := (cpuTime() - began) / time.Duration(groups)
	result := Directory{
		groups: groups, members: members, shards: shards, recordBytes: len(changes[0].Value()), applyTime: applyTime, heap: heapSize() - before,
	}
	runtime.KeepAlive(daemon)
	runtime.KeepAlive(first)
	runtime.KeepAlive(changes)
	return result, nil
}

// heapSize returns the bytes of live heap objects.
func heapSize() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
