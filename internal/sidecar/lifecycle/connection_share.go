package lifecycle

// ConnectionShare is a number of connections that one process may have open: of clients and to servers. It is sent in hand-over
// frames.
type ConnectionShare struct {
	Clients int `json:"clients"`
	Servers int `json:"servers"`
}

// Divide divides the total between the process in service, which has some connections in use already, and its successor: the one in
// service keeps what it uses or half, whichever is more. The two shares are never more than the total.
func (total ConnectionShare) Divide(inUse ConnectionShare) (own, next ConnectionShare) {
	split := func(total, inUse int) (int, int) {
		own := min(total, max(total/2, inUse))
		return own, total - own
	}
	own.Clients, next.Clients = split(total.Clients, inUse.Clients)
	own.Servers, next.Servers = split(total.Servers, inUse.Servers)
	return own, next
}
