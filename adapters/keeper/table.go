package keeper

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"lagoonlanding.example/lagoonlanding"
)

// Table maps keys to entries and numbers the writes to all keys with one increasing revision; it is not safe for concurrent use.
type Table struct {
	entries  map[string]lagoonlanding.Entry
	revision uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[string]lagoonlanding.Entry)}
}

// Clone returns a copy of the table, from which it can be restored.
func (table *Table) Clone() *Table {
	return &Table{entries: maps.Clone(table.entries), revision: table.revision}
}

// Revision returns the revision of the latest write.
func (table *Table) Revision() uint64 { return table.revision }

// Get returns the entry of the key, or ErrNotFound.
func (table *Table) Get(key string) (lagoonlanding.Entry, error) {
	entry, ok := table.entries[key]
	if !ok || isDeleted(entry) {
		return lagoonlanding.Entry{}, lagoonlanding.ErrNotFound
	}
	return entry, nil
}

// List returns the entries under the prefix, sorted by key.
func (table *Table) List(prefix string) lagoonlanding.Listing {
	return table.filter(func(entry lagoonlanding.Entry) bool {
		return strings.HasPrefix(entry.Key(), prefix) && !isDeleted(entry)
	})
}

// Newer returns the entries under the prefix that were written after the revision; a deleted entry has a nil value.
func (table *Table) Newer(prefix string, after uint64) lagoonlanding.Listing {
	return table.filter(func(entry lagoonlanding.Entry) bool {
		return strings.HasPrefix(entry.Key(), prefix) && entry.Revision() > after
	})
}

// CompareAndSwap writes the value if the entry has the expected revision, zero for no entry, and returns the new revision.
func (table *Table) CompareAndSwap(key string, expected uint64, value []byte) (uint64, error) {
	if table.currentRevision(key) != expected {
		return 0, lagoonlanding.ErrConflict
	}
	return table.write(key, append([]byte{}, value...)), nil
}

// Delete deletes the entry of the key, if any.
func (table *Table) Delete(key string) {
	if table.currentRevision(key) != 0 {
		table.write(key, nil)
	}
}

// write stores the value, nil for a deletion, under the next revision.
func (table *Table) write(key string, value []byte) uint64 {
	table.revision++
	table.entries[key] = lagoonlanding.NewEntry(key, value, table.revision)
	return table.revision
}

// currentRevision returns the revision of the entry, zero if there is none.
func (table *Table) currentRevision(key string) uint64 {
	entry, ok := table.entries[key]
	if !ok || isDeleted(entry) {
		return 0
	}
	return entry.Revision()
}

func (table *Table) filter(matches func(lagoonlanding.Entry) bool) lagoonlanding.Listing {
	var entries []lagoonlanding.Entry
	for _, entry := range table.entries {
		if matches(entry) {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b lagoonlanding.Entry) int { return cmp.Compare(a.Key(), b.Key()) })
	return lagoonlanding.NewListing(entries, table.revision)
}

// isDeleted reports whether the entry is a tombstone, which stays in the table so that watches see the deletion.
func isDeleted(entry lagoonlanding.Entry) bool { return entry.Value() == nil }
