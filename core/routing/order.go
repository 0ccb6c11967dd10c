package routing

// Order returns the regions in the order in which Choose tries them for an
// entry VM in the given region.
func (r *Regions) Order(from string) []string {
	var names []string
	for _, g := range r.order(from) {
		names = append(names, g.cfg.Name)
	}
	return names
}
