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

func data(attempt uint32, offset uint64, tokens uint32) *v1.Frame {
	var b strings.Builder
	for i := range uint64(tokens) {
		b.WriteString(strconv.FormatUint(offset+i, 10) + " ")
	}
	return &v1.Frame{RequestId: requestID, Attempt: attempt, Offset: offset, Tokens: tokens, Data: []byte(b.String())}
}

func final(attempt uint32, total uint64) *v1.Frame {
	return &v1.Frame{RequestId: requestID, Attempt: attempt, Final: &v1.Final{Outcome: v1.Outcome_OUTCOME_COMPLETE, Total: total}}
}

// Guards against an answer that is repeated in part, reordered, mixed with another answer or
// shown as complete without all its tokens, under late, duplicate, lost and foreign frames.
func TestAssemblerDeliversPrefixOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := stream.NewAssembler(requestID)
		total := rapid.Uint64Range(1, 20).Draw(t, "total")
		var delivered strings.Builder
		for range rapid.IntRange(1, 4).Draw(t, "attempts") {
			attempt, offset := a.Begin()
			frames := attemptFrames(t, attempt, offset, total)
			for _, f := range frames {
				v, err := a.Accept(f)
				if v == stream.Deliver {
					delivered.Write(f.GetData())
				}
				if err != nil {
					break
				}
			}
			want := string(data(1, 0, uint32(a.Offset())).GetData())
			require.Equal(t, want, delivered.String())
			if a.Complete() {
				require.Equal(t, total, a.Offset())
			}
		}
	})
}

// attemptFrames returns one attempt's frames with faults injected.
func attemptFrames(t *rapid.T, attempt uint32, offset, total uint64) []*v1.Frame {
	var frames []*v1.Frame
	for o := offset; o < total; {
		n := rapid.Uint64Range(1, total-o).Draw(t, "tokens")
		frames = append(frames, data(attempt, o, uint32(n)))
		o += n
	}
	frames = append(frames, final(attempt, total))
	for range rapid.IntRange(0, 3).Draw(t, "faults") {
		i := rapid.IntRange(0, len(frames)-1).Draw(t, "at")
		switch rapid.IntRange(0, 4).Draw(t, "fault") {
		case 0:
			frames = append(frames[:i:i], append([]*v1.Frame{frames[i]}, frames[i:]...)...)
		case 1:
			j := rapid.IntRange(0, len(frames)-1).Draw(t, "swap")
			frames[i], frames[j] = frames[j], frames[i]
		case 2:
			if len(frames) > 1 {
				frames = append(frames[:i:i], frames[i+1:]...)
			}
		case 3:
			late := data(attempt-1, 0, uint32(total))
			frames = append(frames[:i:i], append([]*v1.Frame{late}, frames[i:]...)...)
		case 4:
			foreign := data(attempt, offset, 1)
			foreign.RequestId = "r2"
			frames = append(frames[:i:i], append([]*v1.Frame{foreign}, frames[i:]...)...)
		}
	}
	return frames
}

// Guards against single wrong verdicts that the property test would need luck to name.
func TestAssemblerVerdicts(t *testing.T) {
	tests := []struct {
		name  string
		frame *v1.Frame
		want  stream.Verdict
		err   error
	}{
		{"next", data(2, 3, 2), stream.Deliver, nil},
		{"earlier attempt", data(1, 3, 2), stream.Drop, nil},
		{"repeated", data(2, 1, 2), stream.Drop, nil},
		{"gap", data(2, 4, 1), stream.Drop, stream.ErrGap},
		{"overlap", data(2, 2, 2), stream.Drop, stream.ErrOverlap},
		{"short final", final(2, 5), stream.Drop, stream.ErrLength},
		{"final", final(2, 3), stream.End, nil},
		{"foreign", &v1.Frame{RequestId: "r2", Attempt: 2, Offset: 3}, stream.Drop, stream.ErrForeignFrame},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := stream.NewAssembler(requestID)
			a.Begin()
			_, err := a.Accept(data(1, 0, 3))
			require.NoError(t, err)
			a.Begin()
			got, err := a.Accept(tt.frame)
			require.ErrorIs(t, err, tt.err)
			require.Equal(t, tt.want, got)
		})
	}
}
