package config

import "lovagefork.example/coord/fleet"

// View provides read access to the documents in effect in this process. It is safe for concurrent use.
type View interface {
	// Customer returns the document of a customer, and false if it has none.
	Customer(id fleet.CustomerID) (VersionedDocument, bool)
	// All returns the documents of all customers in ascending order of customer.
	All() []VersionedDocument
}
