package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/upstream"
)

const (
	byLength     = upstream.FramingLength
	byChunks     = upstream.FramingChunks
	byConnection = upstream.FramingConnection
)

// Guards against a body that looks whole without proof of its end, and against whole ones being taken for cut. What is said
// of the backend server in the store is no proof of either.
func TestEndsOfBodies(t *testing.T) {
	for name, tc := range map[string]struct {
		end  bodyEnd
		want error
	}{
		"length":                                          {end: bodyEnd{framing: byLength}},
		"chunks":                                          {end: bodyEnd{framing: byChunks}},
		"length, after the time limit":                    {end: bodyEnd{framing: byLength, pastLimit: true}},
		"chunks, the process has ended":                   {end: bodyEnd{framing: byChunks, lives: false}},
		"connection, the process goes on":                 {end: bodyEnd{framing: byConnection, lives: true}},
		"connection, no proof":                            {end: bodyEnd{framing: byConnection}, want: errServerEnded},
		"connection, after the limit":                     {end: bodyEnd{framing: byConnection, pastLimit: true}, want: errTimeLimit},
		"connection, the process goes on after the limit": {end: bodyEnd{framing: byConnection, lives: true, pastLimit: true}, want: errTimeLimit},

		"events, connection, the process goes on": {end: bodyEnd{framing: byConnection, events: true, anyEvent: true, lives: true}},
		"events, connection, no proof":            {end: bodyEnd{framing: byConnection, events: true, anyEvent: true}, want: errServerEnded},
		"events, connection, after the limit":     {end: bodyEnd{framing: byConnection, events: true, anyEvent: true, lives: true, pastLimit: true}, want: errTimeLimit},
		"no event, connection":                    {end: bodyEnd{framing: byConnection, events: true, lives: true}, want: errNoEvent},
		"no event, chunks":                        {end: bodyEnd{framing: byChunks, events: true}},
		"no event, length":                        {end: bodyEnd{framing: byLength, events: true}},
		"half a line, connection":                 {end: bodyEnd{framing: byConnection, events: true, anyEvent: true, lives: true, tail: []byte("dat")}, want: errEventCut},
		"half a line, chunks":                     {end: bodyEnd{framing: byChunks, events: true, anyEvent: true, tail: []byte("dat")}, want: errEventCut},
		"half a line, length":                     {end: bodyEnd{framing: byLength, events: true, anyEvent: true, tail: []byte("dat")}, want: errEventCut},
		"no events, half a line":                  {end: bodyEnd{framing: byLength, tail: []byte("dat")}},
	} {
		require.Equal(t, tc.want, tc.end.check(), name)
	}
}
