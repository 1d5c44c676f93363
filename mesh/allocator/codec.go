package allocator

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"lagoonlanding.example/lagoonlanding"
)

// maxEncoded bounds an allotment once it is unpacked, in bytes, so that a foreign value cannot fill the memory.
const maxEncoded = 1 << 20

// Codec turns allotments into what the store holds: compressed, since every daemon gets each version.
type Codec struct{}

var _ lagoonlanding.Codec[*Allotment] = Codec{}

// encodedLife is a life of a backend server as it is written.
type encodedLife struct {
	Daemon string `json:"daemon"`
	Name   string `json:"name"`
	Born   int64  `json:"born"`
}

// encodedAllotment is an allotment as it is written: the parts of the stripes by columns, which pack well and are read quickly.
type encodedAllotment struct {
	Service string        `json:"service"`
	Version uint64        `json:"version"`
	Lives   []encodedLife `json:"lives"`
	// Owners and Priors are positions in the list of lives, counted from one, as variable-length numbers; zero is nobody.
	Owners []byte `json:"owners"`
	Priors []byte `json:"priors"`
	// Tokens are variable-length numbers too.
	Tokens []byte `json:"tokens"`
	// Handovers are those of the stripes that have one.
	Handovers map[int]string `json:"handovers,omitempty"`
}

// Encode returns the compressed bytes of the allotment.
func (codec Codec) Encode(allotment *Allotment) ([]byte, error) {
	encoded := encodedAllotment{Service: allotment.Service(), Version: allotment.Version(), Handovers: map[int]string{}}
	numbers := map[lagoonlanding.BackendID]uint64{{}: 0}
	number := func(id lagoonlanding.BackendID) uint64 {
		if _, ok := numbers[id]; !ok {
			encoded.Lives = append(encoded.Lives, encodedLife{Daemon: id.Daemon(), Name: id.Name(), Born: id.StartedMilli()})
			numbers[id] = uint64(len(encoded.Lives))
		}
		return numbers[id]
	}
	for position, stripe := range allotment.Stripes() {
		encoded.Owners = binary.AppendUvarint(encoded.Owners, number(stripe.Owner()))
		encoded.Priors = binary.AppendUvarint(encoded.Priors, number(stripe.Prior()))
		encoded.Tokens = binary.AppendUvarint(encoded.Tokens, stripe.Token())
		if stripe.Handover() != "" {
			encoded.Handovers[position] = stripe.Handover()
		}
	}
	plain, err := json.Marshal(encoded)
	if err != nil {
		return nil, fmt.Errorf("encode allotment: %w", err)
	}
	return deflate(plain)
}

func deflate(plain []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("compress allotment: %w", err)
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, fmt.Errorf("compress allotment: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress allotment: %w", err)
	}
	return packed.Bytes(), nil
}

// Decode returns the allotment that an entry holds.
func (codec Codec) Decode(entry lagoonlanding.Entry) (*Allotment, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(entry.Value())), maxEncoded))
	if err != nil {
		return nil, fmt.Errorf("unpack allotment %s: %w", entry.Key(), err)
	}
	var encoded encodedAllotment
	if err := json.Unmarshal(plain, &encoded); err != nil {
		return nil, fmt.Errorf("decode allotment %s: %w", entry.Key(), err)
	}
	lives := []lagoonlanding.BackendID{{}}
	for _, life := range encoded.Lives {
		lives = append(lives, lagoonlanding.NewBackendID(life.Daemon, life.Name, life.Born))
	}
	stripes := make([]Stripe, 0, min(len(encoded.Tokens), MostStripes))
	columns := newColumns(encoded)
	for columns.next() {
		if columns.owner >= uint64(len(lives)) || columns.prior >= uint64(len(lives)) || columns.token > encoded.Version {
			return nil, fmt.Errorf("decode allotment %s: a stripe names an unknown owner or token", entry.Key())
		}
		if len(stripes) >= MostStripes {
			return nil, fmt.Errorf("decode allotment %s: more than %d stripes", entry.Key(), MostStripes)
		}
		stripes = append(stripes, NewStripe(StripeConfig{
			Owner: lives[columns.owner], Prior: lives[columns.prior], Token: columns.token, Handover: encoded.Handovers[len(stripes)],
		}))
	}
	if !columns.isWhole() {
		return nil, fmt.Errorf("decode allotment %s: its columns differ in length", entry.Key())
	}
	if !isStripeCount(len(stripes)) {
		return nil, fmt.Errorf("decode allotment %s: the keys cannot be cut into %d stripes", entry.Key(), len(stripes))
	}
	return NewAllotment(AllotmentConfig{Service: encoded.Service, Version: encoded.Version, Stripes: stripes}), nil
}

// columns reads the columns of an allotment side by side.
type columns struct {
	owners, priors, tokens *bytes.Reader
	owner, prior, token    uint64
	err                    error
}

func newColumns(encoded encodedAllotment) *columns {
	return &columns{owners: bytes.NewReader(encoded.Owners), priors: bytes.NewReader(encoded.Priors), tokens: bytes.NewReader(encoded.Tokens)}
}

// next reads the numbers of one stripe; it is false at the end of a column.
func (columns *columns) next() bool {
	var errs [3]error
	columns.owner, errs[0] = binary.ReadUvarint(columns.owners)
	columns.prior, errs[1] = binary.ReadUvarint(columns.priors)
	columns.token, errs[2] = binary.ReadUvarint(columns.tokens)
	columns.err = errors.Join(errs[:]...)
	return columns.err == nil
}

// isWhole reports whether all columns ended together, each after a whole number.
func (columns *columns) isWhole() bool {
	return columns.owners.Len()+columns.priors.Len()+columns.tokens.Len() == 0 && !errors.Is(columns.err, io.ErrUnexpectedEOF)
}
