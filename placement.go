package lagoonlanding

// Placement maps each shard of a layout to its owner.
type Placement struct {
	owners []InstanceID
}

// NewPlacement returns the placement with one owner for each shard, the zero identity where there is none.
func NewPlacement(owners []InstanceID) Placement { return Placement{owners: owners} }

// Owner returns the shard's owner, or the zero identity.
func (placement Placement) Owner(shard int) InstanceID {
	if shard < 0 || shard >= len(placement.owners) {
		return InstanceID{}
	}
	return placement.owners[shard]
}

// Shards returns the number of shards.
func (placement Placement) Shards() int { return len(placement.owners) }

// Placer derives the owner of each shard from a layout alone, so that all instances agree on it.
type Placer interface {
	Place(layout Layout) Placement
}
