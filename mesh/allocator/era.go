package allocator

import (
	"fmt"

	"lagoonlanding.example/lagoonlanding"
)

// eraVersionBits is the number of low bits of a version that count the writes within an era of the store; the bits above hold the era. Fencing
// tokens, which are versions, therefore increase across eras and stay below 2^53 for all eras up to lagoonlanding.MaxStoreEra.
const eraVersionBits = 32

// maxVersion bounds versions, since fencing tokens must stay below it.
const maxVersion = 1 << 53

// checkEra checks the version, and the fields that depend on the era of the store.
func (encodedallotment encodedAllotment) checkEra() error {
	era := encodedallotment.Version >> eraVersionBits
	switch {
	case encodedallotment.Version >= maxVersion:
		return fmt.Errorf("version %d is not below %d", encodedallotment.Version, uint64(maxVersion))
	case encodedallotment.Base > encodedallotment.Version:
		return fmt.Errorf("base %d exceeds the version %d", encodedallotment.Base, encodedallotment.Version)
	case encodedallotment.Settled > era:
		return fmt.Errorf("settled era %d exceeds the era %d", encodedallotment.Settled, era)
	}
	return nil
}

// InitialAllotment returns the allotment of a service in which no key has an owner, before the first write in an era of the store. It counts as
// settled: its first write must wait until every assignment of an earlier era has expired.
func InitialAllotment(service string, era uint64) *Allotment {
	return NewAllotment(AllotmentConfig{Service: service, Version: era << eraVersionBits, Settled: era})
}

// Era returns the era of the store in which the allotment was written.
func (allotment *Allotment) Era() uint64 { return allotment.config.Version >> eraVersionBits }

// Base returns the version of an earlier era on which the allotment is based, zero for none.
func (allotment *Allotment) Base() uint64 { return allotment.config.Base }

// IsSettled reports whether backend servers may acquire keys in an era of the store: the longest assignment of earlier eras was waited out. Until
// then a backend server may only keep keys that it holds.
func (allotment *Allotment) IsSettled(era uint64) bool { return allotment.config.Settled >= era }

// Rewrite returns the allotment to be written again in an era of the store, on top of an entry with the replaced version.
func (allotment *Allotment) Rewrite(era, replaced uint64) *Allotment {
	next := allotment.next()
	if allotment.Era() < era {
		next.config.Base = allotment.Version()
	}
	next.config.Version = max(allotment.Version(), replaced, era<<eraVersionBits) + 1
	return next
}

// Settle returns the allotment in which backend servers may acquire keys in an era of the store.
func (allotment *Allotment) Settle(era uint64) *Allotment {
	next := allotment.next()
	next.config.Settled = era
	return next
}

// Supersedes reports whether the allotment, read from an entry in an era of the store, replaces another one that a daemon knows and that may be of
// an earlier era, or of this one though its entry is gone.
//
// An entry of an earlier era was in the copy from which the store was restored, or was written late. An entry of the era itself may be based on an
// older version than the known one; once it is settled, the known one no longer binds any backend server.
func (allotment *Allotment) Supersedes(known *Allotment, era uint64) bool {
	if allotment.Version() <= known.Version() {
		return false
	}
	return allotment.Era() < era || known.Era() >= era || allotment.IsSettled(era) || allotment.Base() >= known.Version()
}

// Within returns the allotment in which only those stripes have an owner that satisfy the condition on their first and last key.
func (allotment *Allotment) Within(isKept func(first, last int) bool) *Allotment {
	config := allotment.config
	config.Stripes = append([]Stripe(nil), config.Stripes...)
	for number := range config.Stripes {
		if !isKept(allotment.bounds(number)) {
			config.Stripes[number].config.Owner = lagoonlanding.BackendID{}
		}
	}
	return &Allotment{config: config}
}
