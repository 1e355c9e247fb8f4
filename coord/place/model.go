package place

// kindID is the index of a task kind in the interference model.
type kindID int

type model struct{}

func newModel() *model { return &model{} }

func (*model) kind(string) kindID { return 0 }

func (*model) cost(*host, *held) float64 { return 0 }
