package infra

// Format decodes and encodes the entries of the platform's store that are in the platform's own format.
type Format interface {
	// CatalogKey returns the key of the operator's configuration.
	CatalogKey() string
	// WorkersPrefix returns the key prefix under which workers register themselves.
	WorkersPrefix() string
	// Catalog decodes the operator's configuration.
	Catalog(value []byte) (*Catalog, error)
	// WavesPrefix returns the key prefix of the operator's maintenance waves.
	WavesPrefix() string
	// Wave decodes a maintenance wave.
	Wave(key string, value []byte) (Wave, error)
	// WaveStatus returns the entry that tells the operator whether a wave is completed.
	WaveStatus(number int64, completed bool) (key string, value []byte)
	// Worker decodes a worker's registration.
	Worker(key string, value []byte) (Worker, error)
}
