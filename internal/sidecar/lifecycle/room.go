package lifecycle

// Room is what a sidecar may hold, or a part of it: connections of clients and to servers.
type Room struct {
	Clients int `json:"clients"`
	Servers int `json:"servers"`
}

// Divide divides the whole between the process in service, which holds some of it already, and the next one: the one in
// service keeps what it holds or half, whichever is more. The two parts are never more than the whole.
func (whole Room) Divide(held Room) (own, next Room) {
	part := func(whole, held int) (int, int) {
		own := min(whole, max(whole/2, held))
		return own, whole - own
	}
	own.Clients, next.Clients = part(whole.Clients, held.Clients)
	own.Servers, next.Servers = part(whole.Servers, held.Servers)
	return own, next
}
