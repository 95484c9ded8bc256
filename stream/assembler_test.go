package stream_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	_ "github.com/quetzallug/quetzallug/internal/rapidseed"
	"github.com/quetzallug/quetzallug/stream"
)

const requestID = "r1"

// dataFrame returns a frame whose data are the numbers of its tokens.
func dataFrame(attempt uint32, offset uint64, tokens uint32) *v1.Frame {
	var b strings.Builder
	for i := range uint64(tokens) {
		b.WriteString(strconv.FormatUint(offset+i, 10) + " ")
	}
	return &v1.Frame{RequestId: requestID, Attempt: attempt, Offset: offset, Tokens: tokens, Data: []byte(b.String())}
}

// finalFrame returns a final frame of a complete answer.
func finalFrame(attempt uint32, total uint64) *v1.Frame {
	return &v1.Frame{RequestId: requestID, Attempt: attempt, Final: &v1.Final{Outcome: v1.Outcome_OUTCOME_COMPLETE, Total: total}}
}

// Guards against delivering tokens twice, out of order or from another answer, and against reporting
// an incomplete answer as complete, when frames are duplicated, reordered, lost, sent by an earlier
// attempt or sent for another request.
func TestAssemblerDeliversPrefixOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := stream.NewAssembler(requestID)
		total := rapid.Uint64Range(1, 20).Draw(t, "total")
		var delivered strings.Builder
		for range rapid.IntRange(1, 4).Draw(t, "attempts") {
			attempt, offset := a.Begin()
			frames := faultyFrames(t, attempt, offset, total)
			for _, f := range frames {
				v, err := a.Accept(f)
				if v == stream.Deliver {
					delivered.Write(f.GetData())
				}
				if err != nil {
					break
				}
			}
			want := string(dataFrame(1, 0, uint32(a.Offset())).GetData())
			require.Equal(t, want, delivered.String())
			if a.Complete() {
				require.Equal(t, total, a.Offset())
			}
		}
	})
}

// faultyFrames returns the frames of one attempt with up to three random faults.
func faultyFrames(t *rapid.T, attempt uint32, offset, total uint64) []*v1.Frame {
	var frames []*v1.Frame
	for o := offset; o < total; {
		n := rapid.Uint64Range(1, total-o).Draw(t, "tokens")
		frames = append(frames, dataFrame(attempt, o, uint32(n)))
		o += n
	}
	frames = append(frames, finalFrame(attempt, total))
	for range rapid.IntRange(0, 3).Draw(t, "faults") {
		i := rapid.IntRange(0, len(frames)-1).Draw(t, "at")
		switch rapid.IntRange(0, 4).Draw(t, "fault") {
		case 0: // duplicate
			frames = append(frames[:i:i], append([]*v1.Frame{frames[i]}, frames[i:]...)...)
		case 1: // swap
			j := rapid.IntRange(0, len(frames)-1).Draw(t, "swap")
			frames[i], frames[j] = frames[j], frames[i]
		case 2: // loss
			if len(frames) > 1 {
				frames = append(frames[:i:i], frames[i+1:]...)
			}
		case 3: // frame of an earlier attempt
			late := dataFrame(attempt-1, 0, uint32(total))
			frames = append(frames[:i:i], append([]*v1.Frame{late}, frames[i:]...)...)
		case 4: // frame of another request
			wrongRequest := dataFrame(attempt, offset, 1)
			wrongRequest.RequestId = "r2"
			frames = append(frames[:i:i], append([]*v1.Frame{wrongRequest}, frames[i:]...)...)
		}
	}
	return frames
}

// Guards against a wrong action or error for each kind of frame. The property test may miss such an
// error or not show which case is wrong.
func TestAssemblerVerdicts(t *testing.T) {
	tests := []struct {
		name  string
		frame *v1.Frame
		want  stream.Action
		err   error
	}{
		{"next", dataFrame(2, 3, 2), stream.Deliver, nil},
		{"earlier attempt", dataFrame(1, 3, 2), stream.Drop, nil},
		{"repeated", dataFrame(2, 1, 2), stream.Drop, nil},
		{"gap", dataFrame(2, 4, 1), stream.Drop, stream.ErrGap},
		{"overlap", dataFrame(2, 2, 2), stream.Drop, stream.ErrOverlap},
		{"short final", finalFrame(2, 5), stream.Drop, stream.ErrLengthMismatch},
		{"final", finalFrame(2, 3), stream.End, nil},
		{"foreign", &v1.Frame{RequestId: "r2", Attempt: 2, Offset: 3}, stream.Drop, stream.ErrWrongRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := stream.NewAssembler(requestID)
			a.Begin()
			_, err := a.Accept(dataFrame(1, 0, 3))
			require.NoError(t, err)
			a.Begin()
			got, err := a.Accept(tt.frame)
			require.ErrorIs(t, err, tt.err)
			require.Equal(t, tt.want, got)
		})
	}
}
