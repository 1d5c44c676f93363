package requester

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/http/httpguts"

	"lagoonlanding.example/lagoonlanding/adapters/dialer"
)

// ErrMalformed means that the head of a response is malformed.
var ErrMalformed = errors.New("malformed response head")

const (
	// dialTimeout limits the time to open a connection.
	dialTimeout = 30 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
	// maxHeadBytes limits the size of the head of a response.
	maxHeadBytes = 64 << 10
)

// Config holds the limits of a Transport.
type Config struct {
	// MaxConnections limits the connections per host; zero means no limit.
	MaxConnections int
}

// Transport sends HTTP requests; responses with a malformed or oversized head, or a body that a reset cut off, are errors.
type Transport struct {
	transport *http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a Transport with the given configuration.
func New(config Config) *Transport {
	netdialer := &net.Dialer{Timeout: dialTimeout}
	return &Transport{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.Dial(ctx, netdialer, network, address)
		},
		MaxConnsPerHost:        config.MaxConnections,
		MaxIdleConnsPerHost:    max(config.MaxConnections, http.DefaultMaxIdleConnsPerHost),
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}}
}

// RoundTrip sends the request and returns the response.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := transport.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	for name := range response.Header {
		// net/http accepts names with a blank, which another reader may take for those of framing fields.
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, errors.Join(fmt.Errorf("%w: field name %q", ErrMalformed, name), response.Body.Close())
		}
	}
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (transport *Transport) CloseIdleConnections() { transport.transport.CloseIdleConnections() }
