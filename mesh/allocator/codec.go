package allocator

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"

	"lagoonlanding.example/lagoonlanding"
)

// maxDecompressedBytes bounds the decompressed size of an allotment, so that an invalid value cannot exhaust the memory.
const maxDecompressedBytes = 1 << 20

// weightUnit is the stored value of a weight of one.
const weightUnit = 1000

// Codec converts allotments to and from their stored form, which is compressed because every daemon receives each version.
type Codec struct{}

var _ lagoonlanding.Codec[*Allotment] = Codec{}

// encodedProcess is the stored form of a process of a backend server.
type encodedProcess struct {
	Daemon       string `json:"daemon"`
	Name         string `json:"name"`
	StartedMilli int64  `json:"born"`
}

// encodedAllotment is the stored form of an allotment: the fields of the stripes as columns, which compress well and decode quickly.
type encodedAllotment struct {
	Service   string           `json:"service"`
	Version   uint64           `json:"version"`
	Processes []encodedProcess `json:"lives"`
	// Owners and Priors are one-based positions in the list of processes, as varints; zero means none.
	Owners []byte `json:"owners"`
	Priors []byte `json:"priors"`
	// Tokens are varints too.
	Tokens []byte `json:"tokens"`
	// Handovers maps stripe numbers to handovers, for the stripes that have one.
	Handovers map[int]string `json:"handovers,omitempty"`
	// Weights are the shares relative to the average, in thousandths, of the daemons in the list of processes.
	Weights map[string]int `json:"weights,omitempty"`
	// Base and Settled are a version of an earlier era of the store and an era; see AllotmentConfig.
	Base    uint64 `json:"base,omitempty"`
	Settled uint64 `json:"settled-era,omitempty"`
}

// Encode returns the compressed bytes of the allotment.
func (codec Codec) Encode(allotment *Allotment) ([]byte, error) {
	encoded := encodedAllotment{
		Service: allotment.Service(), Version: allotment.Version(), Handovers: map[int]string{}, Base: allotment.Base(), Settled: allotment.config.Settled,
	}
	positions := map[lagoonlanding.BackendID]uint64{{}: 0}
	positionOf := func(id lagoonlanding.BackendID) uint64 {
		if _, ok := positions[id]; !ok {
			encoded.Processes = append(encoded.Processes, encodedProcess{Daemon: id.Daemon(), Name: id.Name(), StartedMilli: id.StartedMilli()})
			positions[id] = uint64(len(encoded.Processes))
		}
		return positions[id]
	}
	for number, stripe := range allotment.Stripes() {
		encoded.Owners = binary.AppendUvarint(encoded.Owners, positionOf(stripe.Owner()))
		encoded.Priors = binary.AppendUvarint(encoded.Priors, positionOf(stripe.Prior()))
		encoded.Tokens = binary.AppendUvarint(encoded.Tokens, stripe.Token())
		if stripe.Handover() != "" {
			encoded.Handovers[number] = stripe.Handover()
		}
	}
	encoded.Weights = encodeWeights(allotment, encoded.Processes)
	plain, err := json.Marshal(encoded)
	if err != nil {
		return nil, fmt.Errorf("encode allotment: %w", err)
	}
	return compress(plain)
}

// encodeWeights returns the weights of those daemons whose backend servers own keys.
func encodeWeights(allotment *Allotment, processes []encodedProcess) map[string]int {
	weights := map[string]int{}
	for _, process := range processes {
		if _, ok := allotment.config.Weights[process.Daemon]; ok {
			weights[process.Daemon] = int(math.Round(allotment.weight(process.Daemon) * weightUnit))
		}
	}
	return weights
}

func compress(plain []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("compress allotment: %w", err)
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, fmt.Errorf("compress allotment: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress allotment: %w", err)
	}
	return compressed.Bytes(), nil
}

// Decode returns the allotment stored in an entry.
func (codec Codec) Decode(entry lagoonlanding.Entry) (*Allotment, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(entry.Value())), maxDecompressedBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress allotment %s: %w", entry.Key(), err)
	}
	var encoded encodedAllotment
	if err := json.Unmarshal(plain, &encoded); err != nil {
		return nil, fmt.Errorf("decode allotment %s: %w", entry.Key(), err)
	}
	ids := []lagoonlanding.BackendID{{}}
	for _, process := range encoded.Processes {
		ids = append(ids, lagoonlanding.NewBackendID(process.Daemon, process.Name, process.StartedMilli))
	}
	stripes := make([]Stripe, 0, min(len(encoded.Tokens), MaxStripes))
	columns := newColumns(encoded)
	for columns.next() {
		if columns.owner >= uint64(len(ids)) || columns.prior >= uint64(len(ids)) || columns.token > encoded.Version {
			return nil, fmt.Errorf("decode allotment %s: a stripe has an unknown owner or token", entry.Key())
		}
		if len(stripes) >= MaxStripes {
			return nil, fmt.Errorf("decode allotment %s: more than %d stripes", entry.Key(), MaxStripes)
		}
		stripes = append(stripes, NewStripe(StripeConfig{
			Owner: ids[columns.owner], Prior: ids[columns.prior], Token: columns.token, Handover: encoded.Handovers[len(stripes)],
		}))
	}
	if err := encoded.checkEra(); err != nil {
		return nil, fmt.Errorf("decode allotment %s: %w", entry.Key(), err)
	}
	if !columns.isComplete() {
		return nil, fmt.Errorf("decode allotment %s: columns differ in length", entry.Key())
	}
	if !isStripeCount(len(stripes)) {
		return nil, fmt.Errorf("decode allotment %s: invalid number of stripes: %d", entry.Key(), len(stripes))
	}
	var weights map[string]float64
	if len(encoded.Weights) > 0 {
		weights = map[string]float64{}
	}
	for daemon, weight := range encoded.Weights {
		weights[daemon] = float64(weight) / weightUnit
	}
	return NewAllotment(AllotmentConfig{
		Service: encoded.Service, Version: encoded.Version, Stripes: stripes, Weights: weights, Base: encoded.Base, Settled: encoded.Settled,
	}), nil
}

// columns reads the columns of an allotment in parallel.
type columns struct {
	owners, priors, tokens *bytes.Reader
	owner, prior, token    uint64
	err                    error
}

func newColumns(encoded encodedAllotment) *columns {
	return &columns{owners: bytes.NewReader(encoded.Owners), priors: bytes.NewReader(encoded.Priors), tokens: bytes.NewReader(encoded.Tokens)}
}

// next reads the values of the next stripe; it returns false at the end of a column.
func (columns *columns) next() bool {
	var errs [3]error
	columns.owner, errs[0] = binary.ReadUvarint(columns.owners)
	columns.prior, errs[1] = binary.ReadUvarint(columns.priors)
	columns.token, errs[2] = binary.ReadUvarint(columns.tokens)
	columns.err = errors.Join(errs[:]...)
	return columns.err == nil
}

// isComplete reports whether all columns ended together, each after a complete varint.
func (columns *columns) isComplete() bool {
	return columns.owners.Len()+columns.priors.Len()+columns.tokens.Len() == 0 && !errors.Is(columns.err, io.ErrUnexpectedEOF)
}
