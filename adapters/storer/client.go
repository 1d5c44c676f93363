package storer

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/requester"
	"lagoonlanding.example/lagoonlanding/adapters/storer/encoder"
)

const (
	// defaultWatchTerm is the default wait time of a watch; a longer one needs fewer calls, but a lost watch is noticed later.
	defaultWatchTerm = 4 * time.Second
	// maxWatchDelay is how long after WatchTerm the response to a watch may still arrive before the call fails.
	maxWatchDelay = time.Second
	// pollDelay is the delay after an empty response, which the store may send long before WatchTerm.
	pollDelay = 50 * time.Millisecond
)

// Config holds the settings of a Client.
type Config struct {
	// URL is the base address of the store, such as http://10.0.0.5:2400.
	URL string
	// Client sends the HTTP requests; nil selects one that rejects broken responses.
	Client *http.Client
	// WatchTerm is the requested wait time of a watch; zero selects the default.
	WatchTerm time.Duration
}

// Client is an HTTP client for the platform's store.
type Client struct {
	config Config
}

var _ lagoonlanding.Store = (*Client)(nil)

// New returns a client with the given configuration.
func New(config Config) *Client {
	if config.Client == nil {
		config.Client = &http.Client{Transport: requester.New(requester.Config{})}
	}
	if config.WatchTerm == 0 {
		config.WatchTerm = defaultWatchTerm
	}
	return &Client{config: config}
}

// Get returns the entry of the key, or ErrNotFound if there is none.
func (client *Client) Get(ctx context.Context, key string) (lagoonlanding.Entry, error) {
	body, err := client.call(ctx, call{method: http.MethodGet, path: "/entry", query: url.Values{"key": {key}}})
	if err != nil {
		return lagoonlanding.Entry{}, err
	}
	return encoder.DecodeEntry(body)
}

// List returns all entries under the prefix.
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

// Watch waits until an entry under the prefix is newer than the revision and returns the newer entries, or an error once ctx is done.
//
// It polls with a timeout for each call, so that a call that the store has lost does not block the watch forever.
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
		case <-time.After(pollDelay):
		}
	}
}

// poll sends one watch request.
func (client *Client) poll(ctx context.Context, query url.Values) (lagoonlanding.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, client.config.WatchTerm+maxWatchDelay)
	defer cancel()
	body, err := client.call(ctx, call{method: http.MethodGet, path: "/watch", query: query})
	if err != nil {
		return lagoonlanding.Listing{}, err
	}
	return encoder.DecodeListing(body)
}
