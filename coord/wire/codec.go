package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Envelope carries one message. A request that expects a response has a nonzero ID; the response has the same ID and
// IsResponse set.
type Envelope struct {
	ID         uint64
	IsResponse bool
	Message    Message
}

// frame is the encoded form of an [Envelope]. Its field "answer" marks a response.
type frame struct {
	Kind       string          `cbor:"kind"`
	ID         uint64          `cbor:"id"`
	IsResponse bool            `cbor:"answer"`
	Body       cbor.RawMessage `cbor:"body"`
}

// DecodeError reports data that is not a valid message of this package; Kind is empty if the frame itself is invalid.
type DecodeError struct {
	Kind  string
	Cause error
}

// Error returns a message with the message kind, if known, and the cause.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("decode message %q: %v", e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// decoders holds the decoder of each message type by its kind.
var decoders = map[string]func([]byte) (Message, error){
	Hello{}.kind():            decodeAs[Hello],
	Ack{}.kind():              decodeAs[Ack],
	Failure{}.kind():          decodeAs[Failure],
	BorrowRequest{}.kind():    decodeAs[BorrowRequest],
	Loan{}.kind():             decodeAs[Loan],
	LoanReturn{}.kind():       decodeAs[LoanReturn],
	ForwardRequest{}.kind():   decodeAs[ForwardRequest],
	ForwardResponse{}.kind():  decodeAs[ForwardResponse],
	Endpoints{}.kind():        decodeAs[Endpoints],
	ConfigDoc{}.kind():        decodeAs[ConfigDoc],
	ConfigState{}.kind():      decodeAs[ConfigState],
	JobRequest{}.kind():       decodeAs[JobRequest],
	JobResponse{}.kind():      decodeAs[JobResponse],
	Usage{}.kind():            decodeAs[Usage],
	QuotaGrant{}.kind():       decodeAs[QuotaGrant],
	LoadReport{}.kind():       decodeAs[LoadReport],
	HostedRequest{}.kind():    decodeAs[HostedRequest],
	HostedResponse{}.kind():   decodeAs[HostedResponse],
	SchedulerElected{}.kind(): decodeAs[SchedulerElected],
	CatalogDoc{}.kind():       decodeAs[CatalogDoc],
	CatalogVersion{}.kind():   decodeAs[CatalogVersion],
	CatalogRequest{}.kind():   decodeAs[CatalogRequest],

	RelayedStart{}.kind():         decodeAs[RelayedStart],
	RelayedStartResponse{}.kind(): decodeAs[RelayedStartResponse],
}

func decodeAs[T Message](data []byte) (Message, error) {
	var m T
	err := cbor.Unmarshal(data, &m)
	return m, err
}

// Encode returns the CBOR encoding of an envelope.
func Encode(e Envelope) ([]byte, error) {
	body, err := cbor.Marshal(e.Message)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(frame{Kind: e.Message.kind(), ID: e.ID, IsResponse: e.IsResponse, Body: body})
}

// Decode parses the CBOR encoding of an envelope; its error is a [*DecodeError].
func Decode(data []byte) (Envelope, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return Envelope{}, &DecodeError{Cause: err}
	}
	decode, known := decoders[f.Kind]
	if !known {
		return Envelope{}, &DecodeError{Kind: f.Kind, Cause: fmt.Errorf("unknown kind")}
	}
	m, err := decode(f.Body)
	if err != nil {
		return Envelope{}, &DecodeError{Kind: f.Kind, Cause: err}
	}
	return Envelope{ID: f.ID, IsResponse: f.IsResponse, Message: m}, nil
}
