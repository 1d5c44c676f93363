package lagoonlanding

import "fmt"

const (
	// numberBits is the number of low bits of a revision or lease that hold the store's own number; the bits above hold the era.
	numberBits = 42
	// MaxStoreNumber is the greatest revision that a store with eras may issue: at a thousand writes a second it lasts for 139 years.
	MaxStoreNumber = 1<<numberBits - 1
	// MaxStoreEra is the greatest era. Fencing tokens of an era start at the era times 2^32 and must stay below 2^53.
	MaxStoreEra = 1<<21 - 1
)

// RevisionInEra returns the revision that stands for a store's own revision in an era, so that those of later eras are greater.
//
// In era zero, and for zero, which stands for no entry, it is the store's revision itself. It fails if a number exceeds its bound.
func RevisionInEra(era, revision uint64) (uint64, error) {
	if era == 0 || revision == 0 {
		return revision, nil
	}
	if era > MaxStoreEra || revision > MaxStoreNumber {
		return 0, fmt.Errorf("revision %d of era %d exceeds the bounds: revision %d, era %d", revision, era, uint64(MaxStoreNumber), MaxStoreEra)
	}
	return era<<numberBits | revision, nil
}

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> numberBits }

// StoreRevision returns the store's own revision within the era of a revision.
func StoreRevision(revision uint64) uint64 { return revision & MaxStoreNumber }

// LeaseInEra returns the ID that stands for a store's own lease ID in an era: the store may issue the same one again in a later era.
//
// A store's ID that leaves no room for the era stands for itself, as a negative number; such IDs are taken to be random and never issued twice.
func LeaseInEra(era uint64, lease LeaseID) LeaseID {
	switch {
	case era == 0 || lease <= 0:
		return lease
	case lease > MaxStoreNumber:
		return -lease
	}
	return LeaseID(era<<numberBits) | lease
}

// StoreLease returns the store's own ID of a lease; it returns false if the lease was granted in another era than the given one.
func StoreLease(era uint64, lease LeaseID) (LeaseID, bool) {
	switch {
	case lease == 0 || era == 0 && lease > 0:
		return lease, true
	case lease < 0:
		return -lease, era > 0
	}
	return lease & MaxStoreNumber, uint64(lease)>>numberBits == era
}
