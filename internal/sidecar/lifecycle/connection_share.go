package lifecycle

// ConnectionShare is how many connections one process may have open, from clients and to servers. It is sent to the other process
// during a hand-over.
type ConnectionShare struct {
	Clients int `json:"clients"`
	Servers int `json:"servers"`
}

// Divide divides the total between the process in service, which has inUse connections open, and its successor. The process in
// service keeps as many as it uses, or half of the total if that is more, but never more than the total. The two shares add up to
// the total.
func (total ConnectionShare) Divide(inUse ConnectionShare) (own, next ConnectionShare) {
	split := func(total, inUse int) (int, int) {
		own := min(total, max(total/2, inUse))
		return own, total - own
	}
	own.Clients, next.Clients = split(total.Clients, inUse.Clients)
	own.Servers, next.Servers = split(total.Servers, inUse.Servers)
	return own, next
}
