package config

import (
	"encoding/json"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Document is the configuration of one customer, generated from its answers to the questionnaire.
type Document struct {
	Customer fleet.CustomerID `json:"customer" cbor:"customer"`
	ChangeID string           `json:"change_id" cbor:"change_id"`
	Services []Service        `json:"services" cbor:"services"`
	Batch    []BatchKind      `json:"batch" cbor:"batch"`
	Quota    Quota            `json:"quota" cbor:"quota"`
}

// Service is one long-running service whose replicas serve requests. DeadlineMS is the time limit of a request.
type Service struct {
	Name          string          `json:"name" cbor:"name"`
	Class         fleet.Class     `json:"class" cbor:"class"`
	Replicas      int             `json:"replicas" cbor:"replicas"`
	Resources     fleet.Resources `json:"resources" cbor:"resources"`
	DeadlineMS    int64           `json:"deadline_ms" cbor:"deadline_ms"`
	NonIdempotent bool            `json:"non_idempotent" cbor:"non_idempotent"`
}

// BatchKind is one kind of batch work with the defaults of its tasks.
type BatchKind struct {
	Name        string          `json:"name" cbor:"name"`
	Class       fleet.Class     `json:"class" cbor:"class"`
	Resources   fleet.Resources `json:"resources" cbor:"resources"`
	MaxAttempts int             `json:"max_attempts" cbor:"max_attempts"`
}

// Quota limits the resources and tasks that a customer may use at a time, and its request rate; zero means no limit.
// Weight is its share relative to other customers.
type Quota struct {
	Resources         fleet.Resources `json:"resources" cbor:"resources"`
	RunningTasks      int             `json:"running_tasks" cbor:"running_tasks"`
	RequestsPerSecond float64         `json:"requests_per_second" cbor:"requests_per_second"`
	Weight            int             `json:"weight" cbor:"weight"`
}

// VersionedDocument is a document with the store revision of its last write, which orders its versions.
//
// Answers holds the questionnaire answers that the document was generated from, as JSON. Sequence numbers the
// customer's changes from 1.
type VersionedDocument struct {
	Document Document        `json:"document" cbor:"document"`
	Revision store.Revision  `json:"revision" cbor:"revision"`
	Sequence int64           `json:"sequence" cbor:"sequence"`
	Answers  json.RawMessage `json:"answers" cbor:"answers"`
}
