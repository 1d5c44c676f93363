package publisher

import "time"

// PublicationConfig holds the fields of a Publication.
type PublicationConfig struct {
	// ID identifies the publication, so that a publisher whose reply was lost can find out whether its set was written.
	ID string
	// Operator is the name of the operator who published.
	Operator string
	// Note is the operator's reason for the publication.
	Note string
	// Issued is the wall clock time of the publication.
	Issued time.Time
}

// Publication records who published a set, when and why.
type Publication struct{ config PublicationConfig }

// NewPublication returns the publication with the given configuration.
func NewPublication(config PublicationConfig) Publication { return Publication{config: config} }

// ID returns the unique identifier of the publication.
func (publication Publication) ID() string { return publication.config.ID }

// Operator returns the name of the operator who published.
func (publication Publication) Operator() string { return publication.config.Operator }

// Note returns the operator's reason for the publication.
func (publication Publication) Note() string { return publication.config.Note }

// Issued returns the wall clock time of the publication.
func (publication Publication) Issued() time.Time { return publication.config.Issued }
