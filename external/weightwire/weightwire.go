// Package weightwire defines the HTTP messages of the platform's weight store.
package weightwire

// PathAcquire takes a POST Request and answers when the bytes have been granted.
const PathAcquire = "/weights/acquire"

// Request asks for the bytes of a model.
type Request struct {
	Model string `json:"model"`
	Bytes int64  `json:"bytes"`
}
