// Package storelog identifies positions in the logs of the platform's store.
//
// The store may be restored from an older backup. Records that were written after the backup are then lost, and their
// offsets are assigned again to other records, so an offset alone is ambiguous. A Position therefore combines an offset
// with an era. The era counts the restores of the store, and every response of the store contains it.
//
// # Usage
//
//	from := storelog.Unknown
//	listing := read(from)
//	if listing.Next.Era != from.Era { /* records that were read before may be lost */ }
package storelog

import "cmp"

// Position is a position in one log of the store. Positions of different eras do not tell which record was written
// first. Compare orders them for use as cursors.
type Position struct {
	// Era counts how often the store was restored from an older backup, starting at 0.
	Era int64
	// Offset is the offset of a record, starting at 0, or -1 if no record is known.
	Offset int64
}

// Unknown is the position of a reader that has read no record.
var Unknown = Position{Offset: -1}

// Known reports whether the position has the offset of a record.
func (position Position) Known() bool {
	return position.Offset >= 0
}

// Compare orders the positions up to which readers have read a log. A position of a later era is greater, whatever its
// offset.
func Compare(left, right Position) int {
	return cmp.Or(cmp.Compare(left.Era, right.Era), cmp.Compare(left.Offset, right.Offset))
}

// Latest returns the later of two positions, in the order of Compare.
func Latest(left, right Position) Position {
	if Compare(left, right) < 0 {
		return right
	}
	return left
}
