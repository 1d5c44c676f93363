package storer

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/storer/encoder"
)

// Config holds the parts of a Client.
type Config struct {
	// URL is the base address of the store, such as http://10.0.0.5:2400.
	URL string
	// Client sends the calls; nil for http.DefaultClient.
	Client *http.Client
}

// Client calls the platform's store over HTTP.
type Client struct {
	url    string
	client *http.Client
}

var _ lagoonlanding.Store = (*Client)(nil)

// New returns the client that the configuration describes.
func New(config Config) *Client {
	client := config.Client
	if client == nil {
		client = http.DefaultClient
	}
	return &Client{url: config.URL, client: client}
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

// Swap writes the value if the entry still has the expected revision and returns the new revision.
func (client *Client) Swap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
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
func (client *Client) Watch(ctx context.Context, prefix string, after uint64) (lagoonlanding.Listing, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}}
	for {
		body, err := client.call(ctx, call{method: http.MethodGet, path: "/watch", query: query})
		if err != nil {
			return lagoonlanding.Listing{}, err
		}
		listing, err := encoder.DecodeListing(body)
		if err != nil || len(listing.Entries()) > 0 {
			return listing, err
		}
	}
}
