package announcer

import (
	"net/http"
	"sync"

	"lagoonlanding.example/lagoonlanding"
)

// Config holds the dependencies of an Announcer.
type Config struct {
	// Upstream sends requests to the backend server that was announced last.
	Upstream *Upstream
	// Connect returns a client of the announced backend server.
	Connect func(Announcement) lagoonlanding.Upstream
	// OnAnnouncement is called with each accepted announcement that differs from the last one.
	OnAnnouncement func(Announcement)
}

// Announcer serves the HTTP endpoint at which the backend server beside the daemon announces itself.
type Announcer struct {
	config Config
	mutex  sync.Mutex
}

// New returns an Announcer with the given configuration.
func New(config Config) *Announcer { return &Announcer{config: config} }

// Handler returns the HTTP handler of the endpoint.
func (announcer *Announcer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /upstream", announcer.serve)
	return mux
}

func (announcer *Announcer) serve(writer http.ResponseWriter, message *http.Request) {
	announcement, err := decode(message.Body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if !announcer.accept(announcement) {
		http.Error(writer, "another service has been announced to this daemon", http.StatusConflict)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// accept switches the upstream to the announced backend server; a repeated announcement changes nothing, and one of another service is refused.
func (announcer *Announcer) accept(announcement Announcement) bool {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	last, ok := announcer.config.Upstream.announcement()
	if ok && last == announcement {
		return true
	}
	if ok && last.Service() != announcement.Service() {
		return false
	}
	announcer.config.Upstream.current.Store(&target{announcement: announcement, upstream: announcer.config.Connect(announcement)})
	announcer.config.OnAnnouncement(announcement)
	return true
}
