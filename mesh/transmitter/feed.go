package transmitter

import (
	"context"
	"fmt"
	"net/http"

	"lagoonlanding.example/lagoonlanding"
)

// feedPath is the URL path at which a daemon relays changes from the store.
const feedPath = "/lagoonlanding/news"

// feedRequest asks for the changes after a revision, for all entries, or only whether the daemon relays changes.
type feedRequest struct {
	Prefix string `json:"prefix"`
	After  uint64 `json:"after"`
	List   bool   `json:"whole"`
	Probe  bool   `json:"probe,omitempty"`
}

// feedEntry is a relayed entry or change.
type feedEntry struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision uint64 `json:"r"`
	Removed  bool   `json:"d,omitempty"`
}

// feedResponse lists relayed entries or changes.
type feedResponse struct {
	Changes  []feedEntry `json:"c,omitempty"`
	Revision uint64      `json:"r"`
	// Era is the era of the store in which the daemon follows it; daemons of earlier releases don't state it.
	Era uint64 `json:"e,omitempty"`
}

// feed reads the changes that one daemon relays.
type feed struct {
	peer
}

var _ lagoonlanding.PeerFeed = (*feed)(nil)

// Probe returns at once whether the daemon relays changes.
func (feed *feed) Probe(ctx context.Context, prefix string) error {
	_, err := feed.call(ctx, feedRequest{Prefix: prefix, Probe: true})
	return err
}

// List returns all entries under a prefix.
func (feed *feed) List(ctx context.Context, prefix string) (lagoonlanding.Listing, error) {
	response, err := feed.call(ctx, feedRequest{Prefix: prefix, List: true})
	var entries []lagoonlanding.Entry
	for _, change := range response.Changes {
		entries = append(entries, lagoonlanding.NewEntry(change.Key, change.Value, change.Revision))
	}
	return lagoonlanding.NewListing(entries, response.Revision), err
}

// Watch waits for changes under the prefix after the revision, and returns them.
func (feed *feed) Watch(ctx context.Context, prefix string, after uint64) (lagoonlanding.ChangeList, error) {
	response, err := feed.call(ctx, feedRequest{Prefix: prefix, After: after})
	if err == nil && response.Era < lagoonlanding.EraOf(after) {
		return lagoonlanding.ChangeList{}, fmt.Errorf("%w: daemon follows era %d of the store", lagoonlanding.ErrStoreDisconnected, response.Era)
	}
	var changes []lagoonlanding.Change
	for _, change := range response.Changes {
		changes = append(changes, lagoonlanding.NewChange(lagoonlanding.NewEntry(change.Key, change.Value, change.Revision), change.Removed))
	}
	return lagoonlanding.NewChangeList(changes, response.Revision), err
}

func (feed *feed) call(ctx context.Context, query feedRequest) (feedResponse, error) {
	return call[feedRequest, feedResponse](ctx, feed.peer, feedPath, query)
}

// serveFeed answers a feed request of another daemon.
func (server *Server) serveFeed(writer http.ResponseWriter, request *http.Request) {
	query, ok := decodeRequest[feedRequest](writer, request)
	if !ok {
		return
	}
	feed, ok := server.config.Feeds[query.Prefix]
	if !ok {
		http.NotFound(writer, request)
		return
	}
	response, err := readFeed(request.Context(), feed, query)
	server.respond(writer, response, err)
}

func readFeed(ctx context.Context, feed lagoonlanding.PeerFeed, query feedRequest) (feedResponse, error) {
	if query.Probe {
		return feedResponse{}, feed.Probe(ctx, query.Prefix)
	}
	if query.List {
		listing, err := feed.List(ctx, query.Prefix)
		response := feedResponse{Revision: listing.Revision()}
		for _, entry := range listing.Entries() {
			response.Changes = append(response.Changes, feedEntry{Key: entry.Key(), Value: entry.Value(), Revision: entry.Revision()})
		}
		return response, err
	}
	list, err := feed.Watch(ctx, query.Prefix, query.After)
	response := feedResponse{Revision: list.Revision(), Era: lagoonlanding.EraOf(list.Revision())}
	for _, change := range list.Changes() {
		entry := change.Entry()
		response.Changes = append(response.Changes, feedEntry{Key: entry.Key(), Value: entry.Value(), Revision: entry.Revision(), Removed: change.IsRemoved()})
	}
	return response, err
}
