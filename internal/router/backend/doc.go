// Package backend sends requests to one server over HTTP/1.1 and reports of each whether it may have run.
//
// It does not choose the server, and it sends nothing twice. It uses no connection on which anything came that answers
// no request. What Go's own client does by itself (to repeat a request on a new connection) is why that is not used
// here.
//
// A Pool may be used from any goroutine. A Response belongs to one: the goroutine that called Do, which has to close
// it.
package backend
