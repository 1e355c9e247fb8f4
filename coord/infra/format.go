package infra

// Format decodes what the platform's store holds in the platform's own format.
type Format interface {
	// CatalogKey returns the key of the operator's configuration.
	CatalogKey() string
	// WorkersPrefix returns the prefix of the workers' descriptions of themselves.
	WorkersPrefix() string
	// Catalog decodes the operator's configuration.
	Catalog(value []byte) (*Catalog, error)
	// Worker decodes a worker's description of itself.
	Worker(key string, value []byte) (Worker, error)
}
