package receiver

import "net/http"

// readinessBody is the JSON body of the readiness endpoint.
type readinessBody struct {
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason,omitempty"`
	Instance string `json:"instance"`
	Set      uint64 `json:"set-version"`
	Revision uint64 `json:"store-revision"`
}

// serveEndpoint serves the daemon's own endpoints: liveness, readiness and tickets.
func (receiver *Receiver) serveEndpoint(writer http.ResponseWriter, message *http.Request) {
	if message.Method != http.MethodGet && message.Method != http.MethodHead {
		http.Error(writer, "only GET is allowed", http.StatusMethodNotAllowed)
		return
	}
	switch message.URL.Path {
	case pathLive:
		writeJSON(writer, http.StatusOK, struct{}{})
	case pathReady:
		receiver.serveReady(writer)
	case pathTicket:
		receiver.serveTicket(writer)
	default:
		http.NotFound(writer, message)
	}
}

func (receiver *Receiver) serveReady(writer http.ResponseWriter) {
	snapshot := receiver.config.Snapshots.Current()
	body := readinessBody{Instance: snapshot.Self().ID().String(), Revision: snapshot.Revision()}
	switch {
	case snapshot.Set() == nil && snapshot.Revision() == 0:
		body.Reason = "the store has not answered yet"
	case snapshot.Set() == nil:
		body.Reason = "no set is published"
	case snapshot.IsLeaving():
		body.Reason = "the daemon is leaving"
	}
	if snapshot.Set() != nil {
		body.Set = snapshot.Set().Version()
	}
	status := http.StatusServiceUnavailable
	if body.Reason == "" {
		body.Ready, status = true, http.StatusOK
	}
	writeJSON(writer, status, body)
}

func (receiver *Receiver) serveTicket(writer http.ResponseWriter) {
	ticket := receiver.ticket()
	if ticket.IsZero() {
		http.Error(writer, "the store has not answered yet", http.StatusServiceUnavailable)
		return
	}
	writer.Header()[headerTicket] = []string{formatTicket(ticket)}
	writeJSON(writer, http.StatusOK, struct {
		Ticket string `json:"ticket"`
	}{formatTicket(ticket)})
}
