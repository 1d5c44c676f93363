package carrier

import (
	"context"
	"net/http"

	"lagoonlanding.example/lagoonlanding"
)

// newsPath is the path at which a daemon passes on what it hears from the store.
const newsPath = "/lagoonlanding/news"

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

// feed asks one daemon for news.
type feed struct {
	peer
}

var _ lagoonlanding.Feed = (*feed)(nil)

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
	return ask[newsQuestion, newsAnswer](ctx, feed.peer, newsPath, question)
}

// news answers the question of another daemon.
func (server *Server) news(writer http.ResponseWriter, request *http.Request) {
	question, ok := questionOf[newsQuestion](writer, request)
	if !ok {
		return
	}
	feed, ok := server.config.Feeds[question.Prefix]
	if !ok {
		http.NotFound(writer, request)
		return
	}
	answer, err := tell(request.Context(), feed, question)
	server.reply(writer, answer, err)
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
