package lagoonlanding

// Placement maps each shard of a layout to its owner.
type Placement struct {
	owners []InstanceID
}

// NewPlacement returns a placement with the owner of each shard, the zero identity for a shard without an owner.
func NewPlacement(owners []InstanceID) Placement { return Placement{owners: owners} }

// Owner returns the owner of the shard, or the zero identity if it has none.
func (placement Placement) Owner(shard int) InstanceID {
	if shard < 0 || shard >= len(placement.owners) {
		return InstanceID{}
	}
	return placement.owners[shard]
}

// Shards returns the number of shards.
func (placement Placement) Shards() int { return len(placement.owners) }

// Placer computes the placement from a layout alone, so that all instances compute the same owners.
type Placer interface {
	Place(layout Layout) Placement
}
