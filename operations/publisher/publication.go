package publisher

import "time"

// PublicationConfig describes a Publication.
type PublicationConfig struct {
	// ID tells this publication from all others, so that a lost answer can be read back.
	ID string
	// Operator names who published.
	Operator string
	// Note says why, in the operator's words.
	Note string
	// Issued is the wall time of the publication.
	Issued time.Time
}

// Publication says who published a set, when and why.
type Publication struct{ config PublicationConfig }

// NewPublication returns the publication that the configuration describes.
func NewPublication(config PublicationConfig) Publication { return Publication{config: config} }

// ID returns what tells this publication from all others.
func (publication Publication) ID() string { return publication.config.ID }

// Operator returns the name of who published.
func (publication Publication) Operator() string { return publication.config.Operator }

// Note returns why the set was published.
func (publication Publication) Note() string { return publication.config.Note }

// Issued returns the wall time of the publication.
func (publication Publication) Issued() time.Time { return publication.config.Issued }
