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
	// defaultAccepted bounds the connections of peers if the configuration names no bound.
	defaultAccepted = 4096
	// acceptPause is the wait after a failure to accept, such as a lack of file descriptors.
	acceptPause = 100 * time.Millisecond
	// drainCheck is the interval at which a shutdown looks whether requests still run.
	drainCheck = 20 * time.Millisecond
)

// ServerConfig holds what a Server needs.
type ServerConfig struct {
	// Handler answers the messages.
	Handler lagoonlanding.PeerHandler
	// Clock gives the time for the deadlines in messages.
	Clock lagoonlanding.Clock
	// Log takes what operators should know.
	Log *logrus.Entry
	// MaxConnections bounds the connections of peers; zero for the default.
	MaxConnections int
	// Traffic counts the bytes; nil for none.
	Traffic *Traffic
}

// Server answers the messages of other daemons.
type Server struct {
	handler  lagoonlanding.PeerHandler
	clock    lagoonlanding.Clock
	log      *logrus.Entry
	traffic  *Traffic
	limit    int
	mutex    sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closing  bool
	requests int
}

// NewServer returns a server that answers with the handler.
func NewServer(config ServerConfig) *Server {
	if config.MaxConnections == 0 {
		config.MaxConnections = defaultAccepted
	}
	if config.Traffic == nil {
		config.Traffic = &Traffic{}
	}
	return &Server{
		handler: config.Handler, clock: config.Clock, log: config.Log, traffic: config.Traffic,
		limit: config.MaxConnections, conns: make(map[net.Conn]struct{}),
	}
}

// Serve accepts connections until Shutdown; it returns nil after a shutdown.
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
			server.log.WithError(err).Warn("Cannot accept a peer.")
			time.Sleep(acceptPause)
			continue
		}
		go server.greet(conn)
	}
}

func (server *Server) greet(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !server.add(conn) {
		_, _ = conn.Write(preamble(ProtocolVersion, uint8(verdictBusy)))
		return
	}
	defer server.remove(conn)
	lane, err := receive(conn)
	if err != nil {
		server.log.WithError(err).WithField("peer", conn.RemoteAddr().String()).Warn("Refused a peer.")
		return
	}
	session := &session{server: server, running: make(map[uint64]forwarded)}
	if err := session.serve(&countedConn{Conn: conn, lane: lane, traffic: server.traffic}); err != nil {
		server.log.WithError(err).Error("Cannot serve a peer.")
	}
}

func (server *Server) add(conn net.Conn) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closing || len(server.conns) >= server.limit {
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

// enter counts a forwarded request, unless the server is shutting down.
func (server *Server) enter() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closing {
		return false
	}
	server.requests++
	return true
}

func (server *Server) leave() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.requests--
}

// Shutdown refuses new requests, waits for those that run and then ends all connections.
func (server *Server) Shutdown(ctx context.Context) error {
	server.stopAccepting()
	defer server.closeConnections()
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for server.running() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d forwarded requests still run: %w", server.running(), ctx.Err())
		}
	}
	// The last answers are written by net/rpc after their handlers have returned.
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

func (server *Server) running() int {
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
