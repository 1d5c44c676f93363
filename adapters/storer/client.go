package storer

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/storer/encoder"
)

const (
	// defaultWatchTerm is a trade: a shorter one costs the store more calls, a longer one leaves a lost watch unnoticed for longer.
	defaultWatchTerm = 4 * time.Second
	// watchGrace is how long the answer to a watch may take beyond its term.
	watchGrace = time.Second
	// watchPause is the wait after an answer without news, which may come long before the term.
	watchPause = 50 * time.Millisecond
)

// Config holds the parts of a Client.
type Config struct {
	// URL is the base address of the store, such as http://10.0.0.5:2400.
	URL string
	// Client sends the calls; nil for http.DefaultClient.
	Client *http.Client
	// WatchTerm is how long the store may leave a watch without an answer; zero for the default.
	WatchTerm time.Duration
}

// Client calls the platform's store over HTTP.
type Client struct {
	config Config
}

var _ lagoonlanding.Store = (*Client)(nil)

// New returns the client that the configuration describes.
func New(config Config) *Client {
	if config.Client == nil {
		config.Client = http.DefaultClient
	}
	if config.WatchTerm == 0 {
		config.WatchTerm = defaultWatchTerm
	}
	return &Client{config: config}
}

// Get reads one entry and fails with ErrNotFound if there is none.
func (client *Client) Get(ctx context.Context, key string) (lagoonlanding.Entry, error) {
	body, err := client.call(ctx, call{method: http.MethodGet, path: "/entry", query: url.Values{"key": {key}}})
	if err != nil {
		return lagoonlanding.Entry{}, err
	}
	return encoder.DecodeEntry(body)
}

// List reads all entries under a prefix.
func (client *Client) List(ctx context.Context, prefix string) (lagoonlanding.Listing, error) {
	body, err := client.call(ctx, call{method: http.MethodGet, path: "/entries", query: url.Values{"prefix": {prefix}}})
	if err != nil {
		return lagoonlanding.Listing{}, err
	}
	return encoder.DecodeListing(body)
}

// CompareAndSwap writes the value if the entry still has the expected revision and returns the new revision.
func (client *Client) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	query := url.Values{"key": {key}, "expected": {strconv.FormatUint(expected, 10)}}
	body, err := client.call(ctx, call{method: http.MethodPut, path: "/entry", query: query, body: value})
	if err != nil {
		return 0, err
	}
	revision, err := encoder.DecodeRevision(body)
	if err != nil {
		return 0, errors.Join(lagoonlanding.ErrUnknown, err)
	}
	return revision, nil
}

// Watch waits until an entry under the prefix is newer than the revision, or ctx ends, and returns the newer entries.
//
// It asks again and again, because a store that has lost a call would otherwise be waited for without end.
func (client *Client) Watch(ctx context.Context, prefix string, after uint64) (lagoonlanding.Listing, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}, "wait": {client.config.WatchTerm.String()}}
	for {
		listing, err := client.poll(ctx, query)
		if err != nil || len(listing.Entries()) > 0 {
			return listing, err
		}
		select {
		case <-ctx.Done():
			return lagoonlanding.Listing{}, errors.Join(lagoonlanding.ErrUnavailable, ctx.Err())
		case <-time.After(watchPause):
		}
	}
}

func (client *Client) poll(ctx context.Context, query url.Values) (lagoonlanding.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, client.config.WatchTerm+watchGrace)
	defer cancel()
	body, err := client.call(ctx, call{method: http.MethodGet, path: "/watch", query: query})
	if err != nil {
		return lagoonlanding.Listing{}, err
	}
	return encoder.DecodeListing(body)
}
