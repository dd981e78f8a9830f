package owner

// Service owns partitions and serves their programs.
type Service struct {
	p Params
}

// New returns a Service that is not started yet.
func New(p Params) *Service {
	p.Settings = p.Settings.withDefaults()
	return &Service{p: p}
}
