// Package weightwire defines the HTTP messages of the platform's weight store.
package weightwire

// PathAcquire is the path of the call that waits for permission to load bytes. It is a POST request with
// a Request as its body. The service responds when it permits the load.
const PathAcquire = "/weights/acquire"

// Request is a request to load a number of bytes of a model.
type Request struct {
	Model string `json:"model"`
	Bytes int64  `json:"bytes"`
}
