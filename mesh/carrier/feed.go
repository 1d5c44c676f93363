package carrier

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/caller"
)

const (
	// newsPath is the path at which a daemon passes on what it hears from the store.
	newsPath = "/lagoonlanding/news"
	// maxNews bounds an answer in bytes: the store's values may be a megabyte each.
	maxNews = 32 << 20
)

// newsQuestion asks for changes after a revision, or for a whole listing.
type newsQuestion struct {
	Prefix string `json:"prefix"`
	After  uint64 `json:"after"`
	Whole  bool   `json:"whole"`
}

// newsEntry is a change as it is passed on.
type newsEntry struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision uint64 `json:"r"`
	Removed  bool   `json:"d,omitempty"`
}

// newsAnswer is what is passed on.
type newsAnswer struct {
	Changes  []newsEntry `json:"c,omitempty"`
	Revision uint64      `json:"r"`
}

// Feeds gives the feeds of other daemons.
type Feeds struct {
	pool *caller.Pool
}

var _ lagoonlanding.PeerFeeds = (*Feeds)(nil)

// NewFeeds returns the feeds of daemons that are reached through the pool.
func NewFeeds(pool *caller.Pool) *Feeds { return &Feeds{pool: pool} }

// Feed returns the feed of the daemon at the address.
func (feeds *Feeds) Feed(address string) lagoonlanding.Feed {
	return &feed{pool: feeds.pool, address: address}
}

// feed asks one daemon.
type feed struct {
	pool    *caller.Pool
	address string
}

// List reads all entries under a prefix.
func (feed *feed) List(ctx context.Context, prefix string) (lagoonlanding.Listing, error) {
	answer, err := feed.ask(ctx, newsQuestion{Prefix: prefix, Whole: true})
	var entries []lagoonlanding.Entry
	for _, change := range answer.Changes {
		entries = append(entries, lagoonlanding.NewEntry(change.Key, change.Value, change.Revision))
	}
	return lagoonlanding.NewListing(entries, answer.Revision), err
}

// Watch waits for changes under the prefix after the revision.
func (feed *feed) Watch(ctx context.Context, prefix string, after uint64) (lagoonlanding.ChangeList, error) {
	answer, err := feed.ask(ctx, newsQuestion{Prefix: prefix, After: after})
	var changes []lagoonlanding.Change
	for _, change := range answer.Changes {
		changes = append(changes, lagoonlanding.NewChange(lagoonlanding.NewEntry(change.Key, change.Value, change.Revision), change.Removed))
	}
	return lagoonlanding.NewChangeList(changes, answer.Revision), err
}

func (feed *feed) ask(ctx context.Context, question newsQuestion) (newsAnswer, error) {
	encoded, err := json.Marshal(question)
	if err != nil {
		return newsAnswer{}, fmt.Errorf("encode question: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+feed.address+newsPath, bytes.NewReader(encoded))
	if err != nil {
		return newsAnswer{}, fmt.Errorf("ask daemon: %w", err)
	}
	response, err := feed.pool.Exchange(ctx, feed.address, request)
	if err != nil {
		return newsAnswer{}, fmt.Errorf("%w: %w", lagoonlanding.ErrUnavailable, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxNews))
	if err != nil {
		return newsAnswer{}, fmt.Errorf("%w: %w", lagoonlanding.ErrUnavailable, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return newsAnswer{}, lagoonlanding.ErrCompacted
	case http.StatusServiceUnavailable:
		return newsAnswer{}, lagoonlanding.ErrOutOfTouch
	default:
		return newsAnswer{}, fmt.Errorf("%w: daemon answers %d", lagoonlanding.ErrUnavailable, response.StatusCode)
	}
	var answer newsAnswer
	if err := json.Unmarshal(text, &answer); err != nil {
		return newsAnswer{}, fmt.Errorf("%w: %w", lagoonlanding.ErrUnavailable, err)
	}
	return answer, nil
}

// news answers the question of another daemon.
func (server *Server) news(writer http.ResponseWriter, request *http.Request) {
	var question newsQuestion
	if err := json.NewDecoder(io.LimitReader(request.Body, maxNews)).Decode(&question); err != nil {
		http.Error(writer, "not a question", http.StatusBadRequest)
		return
	}
	feed, ok := server.config.Feeds[question.Prefix]
	if !ok {
		http.NotFound(writer, request)
		return
	}
	answer, err := tell(request.Context(), feed, question)
	switch {
	case errors.Is(err, lagoonlanding.ErrCompacted):
		writer.WriteHeader(http.StatusGone)
	case err != nil:
		writer.WriteHeader(http.StatusServiceUnavailable)
	default:
		if err := json.NewEncoder(writer).Encode(answer); err != nil {
			server.config.Log.WithError(err).Debug("Asking daemon has gone.")
		}
	}
}

func tell(ctx context.Context, feed lagoonlanding.Feed, question newsQuestion) (newsAnswer, error) {
	if question.Whole {
		listing, err := feed.List(ctx, question.Prefix)
		answer := newsAnswer{Revision: listing.Revision()}
		for _, entry := range listing.Entries() {
			answer.Changes = append(answer.Changes, newsEntry{Key: entry.Key(), Value: entry.Value(), Revision: entry.Revision()})
		}
		return answer, err
	}
	list, err := feed.Watch(ctx, question.Prefix, question.After)
	answer := newsAnswer{Revision: list.Revision()}
	for _, change := range list.Changes() {
		entry := change.Entry()
		answer.Changes = append(answer.Changes, newsEntry{Key: entry.Key(), Value: entry.Value(), Revision: entry.Revision(), Removed: change.IsRemoved()})
	}
	return answer, err
}
