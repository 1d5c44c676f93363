package syncer

import (
	"context"
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
)

const (
	// fleetTimeout bounds the wait of a starting daemon for the fleet's entries, from which it knows the daemons that relay changes.
	fleetTimeout = 700 * time.Millisecond
	// maxAskedRelays bounds the daemons that it then asks for the newest configuration.
	maxAskedRelays = 2
)

// errEarlierEra means that a source has not received the changes of the era of the store that this daemon knows.
var errEarlierEra = fmt.Errorf("%w: the source is in an earlier era", lagoonlanding.ErrStoreDisconnected)

// EraBegan records that an answer of the store shows a later era: the store was restored from a copy. Views of the store list it again, and the
// control state writes its entries again.
func (syncer *Syncer) EraBegan(era uint64) {
	syncer.mutex.Lock()
	syncer.era = max(syncer.era, era)
	syncer.mutex.Unlock()
	syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.BeginEra(now, era) })
}

// currentEra returns the latest era of the store that an answer of the store has shown.
func (syncer *Syncer) currentEra() uint64 {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.era
}

// isOfEarlierEra reports whether the answer to a call that another daemon made contains a revision or lease of an earlier era than known. A daemon of an
// earlier release knows no eras; what it returns could equal a number of this daemon from before a restore.
func (syncer *Syncer) isOfEarlierEra(answer any) bool {
	known := max(syncer.currentEra(), lagoonlanding.EraOf(syncer.config.Coordinator.Snapshot().Revision()))
	switch answer := answer.(type) {
	case lagoonlanding.Entry:
		return answer.Revision() > 0 && lagoonlanding.EraOf(answer.Revision()) < known
	case uint64:
		return answer > 0 && lagoonlanding.EraOf(answer) < known
	case lagoonlanding.LeaseID:
		_, isCurrent := lagoonlanding.StoreLease(known, answer)
		return known > 0 && answer > 0 && !isCurrent
	}
	return false
}

// amend returns a listing of a restored store with the newest configuration that this daemon knows, as of the listing, if the store has an older one
// or none. Daemons that follow this one, also those that start, therefore do not apply an older configuration while the operator writes the newest one
// again.
func (directivehandler *directiveHandler) amend(ctx context.Context, source source, listing lagoonlanding.Listing) lagoonlanding.Listing {
	if lagoonlanding.EraOf(listing.Revision()) == 0 {
		return listing
	}
	if source.isStore() && directivehandler.newest.Key() == "" {
		directivehandler.askRelays(ctx)
	}
	newest := directivehandler.newest
	if newest.Key() == "" {
		return listing
	}
	amended := []lagoonlanding.Entry{}
	for _, entry := range listing.Entries() {
		if entry.Key() != newest.Key() {
			amended = append(amended, entry)
			continue
		}
		directive, err := directivehandler.syncer.config.Directives.Decode(entry)
		if err == nil && directive.Routing() != nil && directive.Routing().Version() >= directivehandler.version {
			return listing
		}
	}
	directivehandler.syncer.config.Log.WithField("key", newest.Key()).WithField("version", directivehandler.version).WithField("revision", listing.Revision()).
		Warn("The store has an older configuration than the one in force. Keeping that one.")
	return lagoonlanding.NewListing(append(amended, lagoonlanding.NewEntry(newest.Key(), newest.Value(), listing.Revision())), listing.Revision())
}

// askRelays learns the newest configuration that other relays know, for a daemon that starts and reads the store itself: the store may have been
// restored a moment ago, and have an older one.
func (directivehandler *directiveHandler) askRelays(ctx context.Context) {
	syncer := directivehandler.syncer
	for end := syncer.config.Clock.Now().Add(fleetTimeout); syncer.config.Coordinator.Snapshot().Revision() == 0 && syncer.config.Clock.Now().Before(end); {
		syncer.sleep(ctx, registrationPollInterval)
	}
	asked := 0
	for _, relay := range syncer.config.Coordinator.Snapshot().Relays() {
		if relay.ID().Daemon() == syncer.config.Daemon || asked >= maxAskedRelays || syncer.config.Peers == nil {
			continue
		}
		asked++
		limited, cancel := context.WithTimeout(ctx, peerProbeTimeout)
		listing, err := syncer.config.Peers.Feed(relay.PeerAddress()).List(limited, syncer.config.DirectiveJournal.Prefix())
		cancel()
		log := syncer.config.Log.WithField("daemon", relay.ID().Daemon())
		if err != nil {
			log.WithError(err).Debug("Daemon did not tell the configuration that it knows.")
			continue
		}
		for _, entry := range listing.Entries() {
			if directive, err := syncer.config.Directives.Decode(entry); err == nil && directivehandler.observeRouting(entry, directive.Routing()) {
				log.WithField("version", directivehandler.version).Info("Newest configuration was learned from another daemon.")
			}
		}
	}
}

// observeRouting records the entry of a configuration, nil for none, if it is the newest one, and reports whether it is.
func (directivehandler *directiveHandler) observeRouting(entry lagoonlanding.Entry, routing *lagoonlanding.Routing) bool {
	if routing == nil || directivehandler.newest.Key() != "" && routing.Version() <= directivehandler.version {
		return false
	}
	directivehandler.newest, directivehandler.version = entry, routing.Version()
	return true
}
