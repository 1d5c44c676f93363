package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/administrator/encoder"
	"lagoonlanding.example/lagoonlanding/operations/conductor"
	"lagoonlanding.example/lagoonlanding/operations/confirmer"
	"lagoonlanding.example/lagoonlanding/operations/parser"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/operations/submitter"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

const (
	// maxBodySize bounds an order: the sources, escaped as JSON strings.
	maxBodySize = 2 * parser.MaxSourceSize
	// defaultWait is how long a publish waits to be in force if the order does not say.
	defaultWait = 15 * time.Second
	// maxWait bounds the wait of an order.
	maxWait = 2 * time.Minute
	// watchTerm is when a watch answers although nothing has changed.
	watchTerm = 25 * time.Second
)

// Config holds what an Administrator works with.
type Config struct {
	// Address is the host and port that the API is served at; outside loopback it needs KeyFile.
	Address string
	// KeyFile is the path of the operators' keys, empty for none.
	KeyFile string
	// Store holds the published set and the groups' records.
	Store lagoonlanding.Store
	// Records is the codec of the records.
	Records lagoonlanding.Codec[lagoonlanding.Record]
	// Sets is the codec of the published sets.
	Sets lagoonlanding.Codec[*publisher.Set]
	// Placer derives the owners of the shards.
	Placer lagoonlanding.Placer
	// Peers carries questions to other instances.
	Peers lagoonlanding.Peers
	// Clock tells the time.
	Clock lagoonlanding.Clock
	// Snapshots gives what the control thread has published.
	Snapshots lagoonlanding.Source[*router.Snapshot]
	// Status returns what this instance knows of itself and its groups.
	Status func() lagoonlanding.InstanceStatus
	// Drain starts a graceful shutdown of this instance.
	Drain func()
	// Log takes a line for each order.
	Log *logrus.Entry
}

// Administrator answers the calls of operators.
type Administrator struct {
	config    Config
	keyring   *keyring
	submitter *submitter.Submitter
	confirmer *confirmer.Confirmer
	conductor *conductor.Conductor
}

// New returns an administrator; it fails if the address is open to others and there is no key.
func New(config Config) (*Administrator, error) {
	keyring, err := newKeyring(config.KeyFile, config.Address)
	if err != nil {
		return nil, err
	}
	peers := &statusPeers{Peers: config.Peers, status: config.Status}
	administrator := &Administrator{config: config, keyring: keyring}
	administrator.submitter = submitter.New(submitter.Config{Store: config.Store, Sets: config.Sets, Clock: config.Clock})
	administrator.confirmer = confirmer.New(confirmer.Config{
		Store: config.Store, Records: config.Records, Peers: peers, Clock: config.Clock,
	})
	administrator.conductor = conductor.New(conductor.Config{
		Store: config.Store, Records: config.Records, Placer: config.Placer,
		Submitter: administrator.submitter, Confirmer: administrator.confirmer,
	})
	return administrator, nil
}

// Handler returns the API; each call needs a key if there is a file of them.
func (administrator *Administrator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/check", handle(administrator, administrator.check))
	mux.Handle("POST /v1/plan", handle(administrator, administrator.plan))
	mux.Handle("POST /v1/publish", handle(administrator, administrator.publish))
	mux.Handle("POST /v1/zones/{zone}/{action}", handle(administrator, administrator.setZone))
	mux.Handle("POST /v1/drain", handle(administrator, administrator.drain))
	mux.Handle("GET /v1/set", handle(administrator, administrator.set))
	mux.Handle("GET /v1/history", handle(administrator, administrator.history))
	mux.Handle("GET /v1/confirmation", handle(administrator, administrator.confirmation))
	mux.Handle("GET /v1/status", handle(administrator, administrator.status))
	mux.Handle("GET /v1/explain", handle(administrator, administrator.explain))
	mux.Handle("GET /v1/watch", handle(administrator, administrator.watch))
	return mux
}

// call is one call of an operator, with its body decoded.
type call[Body any] struct {
	request  *http.Request
	operator string
	body     Body
}

func (call call[Body]) ctx() context.Context { return call.request.Context() }

// handle returns a handler that checks the key, decodes the body if there is one, and replies with the answer as JSON.
func handle[Body, Answer any](administrator *Administrator, answer func(call[Body]) (int, Answer, error)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		operator, ok, err := administrator.keyring.check(request.Header.Get("Authorization"))
		if err != nil {
			administrator.config.Log.WithError(err).Warn("Kept the old keys.")
		}
		if !ok {
			reply(writer, http.StatusUnauthorized, encoder.Error{Problem: "an operator's key is needed"})
			return
		}
		call := call[Body]{request: request, operator: operator}
		if request.Method != http.MethodGet {
			if err := decode(writer, request, &call.body); err != nil {
				reply(writer, http.StatusBadRequest, encoder.Error{Problem: err.Error()})
				return
			}
		}
		status, value, err := answer(call)
		if err != nil {
			reply(writer, status, encoder.Error{Problem: err.Error()})
			return
		}
		reply(writer, status, value)
	})
}

// decode reads a body strictly; an empty body leaves the value as it is.
func decode(writer http.ResponseWriter, request *http.Request, body any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodySize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

func reply(writer http.ResponseWriter, status int, answer any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	// The operator has gone if this fails, and the order stands as it is.
	_ = encoder.Encode(answer)
}
