package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// defaultMaxAccepted is the limit on connections from peers if the configuration sets none.
	defaultMaxAccepted = 4096
	// acceptRetryDelay is the delay after a failed accept, such as for lack of file descriptors.
	acceptRetryDelay = 100 * time.Millisecond
	// drainPollInterval is the interval at which a shutdown checks for running requests.
	drainPollInterval = 20 * time.Millisecond
)

// ServerConfig holds the dependencies and limits of a Server.
type ServerConfig struct {
	// Handler handles the messages.
	Handler lagoonlanding.PeerHandler
	// Clock returns the current time, from which the deadlines in messages are computed.
	Clock lagoonlanding.Clock
	// Log receives warnings and errors about peers.
	Log *logrus.Entry
	// MaxConnections limits the connections from peers; zero selects the default.
	MaxConnections int
	// Traffic counts the bytes sent and received; nil disables the counting.
	Traffic *Traffic
}

// Server serves the messages of other daemons.
type Server struct {
	handler        lagoonlanding.PeerHandler
	clock          lagoonlanding.Clock
	log            *logrus.Entry
	traffic        *Traffic
	maxConnections int
	mutex          sync.Mutex
	listener       net.Listener
	conns          map[net.Conn]struct{}
	closing        bool
	// requests is the number of running forwarded requests.
	requests int
}

// NewServer returns a server with the given configuration.
func NewServer(config ServerConfig) *Server {
	if config.MaxConnections == 0 {
		config.MaxConnections = defaultMaxAccepted
	}
	if config.Traffic == nil {
		config.Traffic = &Traffic{}
	}
	return &Server{
		handler: config.Handler, clock: config.Clock, log: config.Log, traffic: config.Traffic,
		maxConnections: config.MaxConnections, conns: make(map[net.Conn]struct{}),
	}
}

// Serve accepts connections until Shutdown, and then returns nil.
func (server *Server) Serve(listener net.Listener) error {
	server.mutex.Lock()
	server.listener = listener
	server.mutex.Unlock()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			server.log.WithError(err).Warn("Failed to accept a peer connection; retrying.")
			time.Sleep(acceptRetryDelay)
			continue
		}
		go server.handleConn(conn)
	}
}

func (server *Server) handleConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !server.add(conn) {
		_, _ = conn.Write(preamble(ProtocolVersion, uint8(resultBusy)))
		return
	}
	defer server.remove(conn)
	lane, err := serverHandshake(conn)
	if err != nil {
		server.log.WithError(err).WithField("peer", conn.RemoteAddr().String()).Warn("Peer handshake failed; closing the connection.")
		return
	}
	session := &session{server: server, inFlight: make(map[uint64]inFlightRequest)}
	if err := session.serve(&countedConn{Conn: conn, lane: lane, traffic: server.traffic}); err != nil {
		server.log.WithError(err).Error("Failed to serve a peer connection; closing it.")
	}
}

func (server *Server) add(conn net.Conn) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closing || len(server.conns) >= server.maxConnections {
		return false
	}
	server.conns[conn] = struct{}{}
	return true
}

func (server *Server) remove(conn net.Conn) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.conns, conn)
}

// beginRequest counts a running forwarded request; it returns false if the server is shutting down.
func (server *Server) beginRequest() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closing {
		return false
	}
	server.requests++
	return true
}

func (server *Server) endRequest() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.requests--
}

// Shutdown refuses new requests, waits for running requests and then closes all connections.
func (server *Server) Shutdown(ctx context.Context) error {
	server.stopAccepting()
	defer server.closeConnections()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for server.runningRequests() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d forwarded requests are still running: %w", server.runningRequests(), ctx.Err())
		}
	}
	// net/rpc writes the last responses after their handlers have returned.
	select {
	case <-ticker.C:
	case <-ctx.Done():
	}
	return nil
}

func (server *Server) stopAccepting() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.closing = true
	if server.listener != nil {
		_ = server.listener.Close()
	}
}

func (server *Server) runningRequests() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.requests
}

func (server *Server) closeConnections() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.conns {
		_ = conn.Close()
	}
}
