// Package backend sends requests to one server over HTTP/1.1 and reports whether the server may have executed each request.
//
// It does not choose the server, and it never retries a request. It does not reuse a connection on which bytes arrived that
// belong to no request. It does not use net/http.Client, whose transport may repeat a request on a new connection by itself.
//
// A Pool may be used from any goroutine. A Response may be used only by the goroutine that called Do, which must close it.
package backend
