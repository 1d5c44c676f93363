package keeper

import (
	"cmp"
	"slices"
	"strings"

	"lagoonlanding.example/lagoonlanding"
)

// Table holds entries by key under one growing revision; it is not safe for use by several goroutines.
type Table struct {
	entries  map[string]lagoonlanding.Entry
	revision uint64
}

// NewTable returns a table without entries.
func NewTable() *Table {
	return &Table{entries: make(map[string]lagoonlanding.Entry)}
}

// Revision returns the revision of the newest write.
func (table *Table) Revision() uint64 { return table.revision }

// Get returns the entry of the key, or ErrNotFound.
func (table *Table) Get(key string) (lagoonlanding.Entry, error) {
	entry, ok := table.entries[key]
	if !ok || isDeleted(entry) {
		return lagoonlanding.Entry{}, lagoonlanding.ErrNotFound
	}
	return entry, nil
}

// List returns the entries under the prefix in the order of their keys.
func (table *Table) List(prefix string) lagoonlanding.Listing {
	return table.collect(func(entry lagoonlanding.Entry) bool {
		return strings.HasPrefix(entry.Key(), prefix) && !isDeleted(entry)
	})
}

// Newer returns the entries under the prefix that were written after the revision; a deleted one has a nil value.
func (table *Table) Newer(prefix string, after uint64) lagoonlanding.Listing {
	return table.collect(func(entry lagoonlanding.Entry) bool {
		return strings.HasPrefix(entry.Key(), prefix) && entry.Revision() > after
	})
}

// Swap writes the value if the entry has the expected revision, zero for an absent one, and returns the new revision.
func (table *Table) Swap(key string, expected uint64, value []byte) (uint64, error) {
	if table.current(key) != expected {
		return 0, lagoonlanding.ErrConflict
	}
	return table.write(key, append([]byte{}, value...)), nil
}

// Delete removes the entry if there is one.
func (table *Table) Delete(key string) {
	if table.current(key) != 0 {
		table.write(key, nil)
	}
}

func (table *Table) write(key string, value []byte) uint64 {
	table.revision++
	table.entries[key] = lagoonlanding.NewEntry(key, value, table.revision)
	return table.revision
}

func (table *Table) current(key string) uint64 {
	entry, ok := table.entries[key]
	if !ok || isDeleted(entry) {
		return 0
	}
	return entry.Revision()
}

func (table *Table) collect(wanted func(lagoonlanding.Entry) bool) lagoonlanding.Listing {
	var entries []lagoonlanding.Entry
	for _, entry := range table.entries {
		if wanted(entry) {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b lagoonlanding.Entry) int { return cmp.Compare(a.Key(), b.Key()) })
	return lagoonlanding.NewListing(entries, table.revision)
}

// Deleted entries stay in the table, so that watches see the deletion.
func isDeleted(entry lagoonlanding.Entry) bool { return entry.Value() == nil }
