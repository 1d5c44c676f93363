package carrier

import (
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/caller"
)

// ServerConfig holds what a Server is built from.
type ServerConfig struct {
	// Handler takes the tasks of other daemons.
	Handler lagoonlanding.TaskHandler
	// Feeds are what the daemon passes on, by the prefix of the keys.
	Feeds map[string]lagoonlanding.Feed
	// Store carries out calls of daemons that the store does not answer.
	Store lagoonlanding.LeaseStore
	// Clock tells the time.
	Clock lagoonlanding.Clock
	// Log takes one line for each message that cannot be read.
	Log *logrus.Entry
}

// Server takes tasks from other daemons.
type Server struct {
	config ServerConfig
}

// NewServer returns a server.
func NewServer(config ServerConfig) *Server { return &Server{config: config} }

// ServeHTTP runs a task and answers with what became of it.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Header.Get(headerTask) == "" {
		switch request.URL.Path {
		case newsPath:
			server.news(writer, request)
			return
		case storePath:
			server.store(writer, request)
			return
		}
	}
	Stream(writer, request, server.config.Log)
	now := server.config.Clock.Now()
	header := caller.EndToEnd(request.Header)
	config, err := read[lagoonlanding.TaskConfig, taskTerms](header, headerTask, now)
	if err != nil {
		server.config.Log.WithError(err).Warn("Message of a daemon is unreadable.")
		http.Error(writer, "not a task", http.StatusBadRequest)
		return
	}
	config.Method, config.Host, config.Target, config.Header = request.Method, request.Host, request.RequestURI, header
	config.Body, config.BodyLength = request.Body, request.ContentLength
	task := lagoonlanding.NewTask(config)
	result := server.config.Handler.Handle(request.Context(), task)
	server.answer(writer, task, result)
}

// Refuse tells the sender of a task that it was not run because the daemon is about to end.
func (server *Server) Refuse(writer http.ResponseWriter) {
	server.answer(writer, lagoonlanding.Task{}, lagoonlanding.NotRun(lagoonlanding.ReasonShuttingDown, time.Time{}))
}

func (server *Server) answer(writer http.ResponseWriter, task lagoonlanding.Task, result lagoonlanding.Result) {
	if err := write(writer.Header(), headerResult, newResultTerms(server.config.Clock.Now(), result)); err != nil {
		server.config.Log.WithField("request", task.ID()).WithError(err).Error("Result cannot be encoded.")
		// The server closes the connection, so that the sender takes the outcome for unknown.
		panic(http.ErrAbortHandler)
	}
	writer.Header()["Date"] = nil
	if result.Outcome() != lagoonlanding.OutcomeAnswered {
		writer.WriteHeader(http.StatusNoContent)
		return
	}
	Copy(writer, result.Answer())
}

// Stream lets an answer begin before the request's body has ended; otherwise the server would drop a part of the body in between.
func Stream(writer http.ResponseWriter, request *http.Request, log *logrus.Entry) {
	if request.ContentLength == 0 {
		return
	}
	if err := http.NewResponseController(writer).EnableFullDuplex(); err != nil {
		log.WithError(err).Debug("Answer and body cannot pass at the same time.")
	}
}

// Copy writes an answer; one whose body breaks off breaks the connection, so that it does not look complete.
func Copy(writer http.ResponseWriter, answer lagoonlanding.Answer) {
	defer answer.Body().Close()
	for name, values := range answer.Header() {
		writer.Header()[name] = values
	}
	if _, ok := answer.Header()["Content-Type"]; !ok {
		// The backend server named no type, so none is guessed.
		writer.Header()["Content-Type"] = nil
	}
	writer.WriteHeader(answer.Status())
	if _, err := io.Copy(writer, answer.Body()); err != nil {
		panic(http.ErrAbortHandler)
	}
}
