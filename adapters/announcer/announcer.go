package announcer

import (
	"net/http"
	"sync"

	"lagoonlanding.example/lagoonlanding"
)

// Config holds what an Announcer works with.
type Config struct {
	// Upstream is set to the backend server that announces itself.
	Upstream *Upstream
	// Connect returns the way to a backend server.
	Connect func(Announcement) lagoonlanding.Upstream
	// Announced is told of each new announcement.
	Announced func(Announcement)
}

// Announcer is the endpoint at which the backend server beside the daemon announces itself.
type Announcer struct {
	config Config
	mutex  sync.Mutex
}

// New returns the endpoint that the configuration describes.
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
	if !announcer.take(announcement) {
		http.Error(writer, "another service has been announced to this daemon", http.StatusConflict)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// take connects to the backend server; a repeated announcement changes nothing, and one of another service is refused.
func (announcer *Announcer) take(announcement Announcement) bool {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	known, ok := announcer.config.Upstream.announced()
	if ok && known == announcement {
		return true
	}
	if ok && known.Service() != announcement.Service() {
		return false
	}
	announcer.config.Upstream.current.Store(&target{announcement: announcement, upstream: announcer.config.Connect(announcement)})
	announcer.config.Announced(announcement)
	return true
}
