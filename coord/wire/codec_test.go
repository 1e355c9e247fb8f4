package wire_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/wire"
)

// A field lost or changed in transit could deliver a response to the caller of another request.
func TestEncodeDecode(t *testing.T) {
	for _, m := range []wire.Message{
		wire.Hello{EntryHost: "e1", Boot: "b", Zone: "a"},
		wire.ForwardRequest{Service: "c/s", Class: fleet.Deferrable, RequestID: "r", Method: "PUT", Body: []byte("x")},
		wire.ForwardResponse{Outcome: "ran", Status: 200, Body: []byte("y")},
		wire.RelayedStart{Process: 1 << 63, Until: 9, Worker: "w", Job: "j", Index: 4, Run: 1001, SpecSum: wire.SpecSum("s"), Ticket: "t", Token: 8},
		wire.RelayedStartResponse{Outcome: wire.RelayRefused, Refusal: infra.ReasonNoRoom, Clock: 12},
		wire.Loan{ID: "l", Parts: []wire.LoanPart{{Worker: "w", Slots: 2}}, TTLMS: 5000},
	} {
		sent := wire.Envelope{ID: 7, IsResponse: true, Message: m}
		data, err := wire.Encode(sent)
		assert.NilError(t, err)
		got, err := wire.Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, sent)
	}
}

// A corrupt frame must yield a DecodeError; a panic in the decoder would stop the process.
func FuzzDecode(f *testing.F) {
	data, err := wire.Encode(wire.Envelope{ID: 1, Message: wire.LoanReturn{ID: "l"}})
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte{0xa1, 0x64})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := wire.Decode(data)
		var decodeErr *wire.DecodeError
		assert.Assert(t, err == nil || errors.As(err, &decodeErr))
	})
}
