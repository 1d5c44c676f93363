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
	// maxBodySize limits a request body; it leaves room for the escaping of the sources as JSON strings.
	maxBodySize = 2 * parser.MaxSourceSize
	// defaultWait is how long a publish waits for the set to be in force if the request does not specify it.
	defaultWait = 15 * time.Second
	// maxWait limits the wait that a request may specify.
	maxWait = 2 * time.Minute
	// watchTimeout is the time after which a watch replies without a change.
	watchTimeout = 25 * time.Second
)

// Config holds the configuration of an Administrator.
type Config struct {
	// Address is the host and port of the API; an address other than loopback requires KeyFile.
	Address string
	// KeyFile is the path of the file with the operators' keys, empty for none.
	KeyFile string
	// Store holds the published set and the groups' records.
	Store lagoonlanding.Store
	// Records is the codec of the records.
	Records lagoonlanding.Codec[lagoonlanding.Record]
	// Sets is the codec of the published sets.
	Sets lagoonlanding.Codec[*publisher.Set]
	// Placer assigns the shards to owners.
	Placer lagoonlanding.Placer
	// Peers sends status requests to other instances.
	Peers lagoonlanding.Peers
	// Clock provides the time.
	Clock lagoonlanding.Clock
	// Snapshots provides the latest snapshot of the control thread.
	Snapshots lagoonlanding.Source[*router.Snapshot]
	// Status returns the status of this instance and its groups.
	Status func() lagoonlanding.InstanceStatus
	// Drain starts a graceful shutdown of this instance.
	Drain func()
	// Log receives a line for each request that changes something.
	Log *logrus.Entry
}

// Administrator handles the API calls of operators.
type Administrator struct {
	config    Config
	keyring   *keyring
	submitter *submitter.Submitter
	confirmer *confirmer.Confirmer
	conductor *conductor.Conductor
}

// New returns an administrator; it fails if the address is not a loopback address and there are no keys.
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

// Handler returns the handler of the API; each call needs a key if a key file is configured.
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

// call is an API call of an operator with its decoded body.
type call[Body any] struct {
	request  *http.Request
	operator string
	body     Body
}

func (call call[Body]) ctx() context.Context { return call.request.Context() }

// handle returns a handler that checks the key, decodes the body of a POST request and replies with the result as JSON.
func handle[Body, Reply any](administrator *Administrator, execute func(call[Body]) (int, Reply, error)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		operator, ok, err := administrator.keyring.check(request.Header.Get("Authorization"))
		if err != nil {
			administrator.config.Log.WithError(err).Warn("Could not reload the operators' keys; the previous keys stay valid.")
		}
		if !ok {
			writeReply(writer, http.StatusUnauthorized, encoder.Error{Problem: "an operator's key is needed"})
			return
		}
		call := call[Body]{request: request, operator: operator}
		if request.Method != http.MethodGet {
			if err := decode(writer, request, &call.body); err != nil {
				writeReply(writer, http.StatusBadRequest, encoder.Error{Problem: err.Error()})
				return
			}
		}
		status, value, err := execute(call)
		if err != nil {
			writeReply(writer, status, encoder.Error{Problem: err.Error()})
			return
		}
		writeReply(writer, status, value)
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

func writeReply(writer http.ResponseWriter, status int, reply any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	// This fails only if the operator has disconnected; the request stays completed.
	_ = encoder.Encode(reply)
}
