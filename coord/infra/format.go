package infra

// Format decodes what the platform's store holds in the platform's own format.
type Format interface {
	// CatalogKey returns the key of the operator's configuration.
	CatalogKey() string
	// WorkersPrefix returns the prefix of the workers' descriptions of themselves.
	WorkersPrefix() string
	// Catalog decodes the operator's configuration.
	Catalog(value []byte) (*Catalog, error)
	// WavesPrefix returns the prefix of the operator's waves of upkeep.
	WavesPrefix() string
	// Wave decodes a wave of upkeep.
	Wave(key string, value []byte) (Wave, error)
	// WaveStatus returns where and how the operator reads whether a wave is completed.
	WaveStatus(number int64, completed bool) (key string, value []byte)
	// Worker decodes a worker's description of itself.
	Worker(key string, value []byte) (Worker, error)
}
