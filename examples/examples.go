// Package examples embeds the example deployments.
package examples

import "embed"

// Files holds one folder per deployment with one document per service.
//
//go:embed transport/*.yaml irrigation/*.yaml
var Files embed.FS
