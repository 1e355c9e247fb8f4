package place

// workerRecord is what recent attempts say about a worker.
type workerRecord struct {
	probation bool
}
