package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/enginewire"
)

const (
	// vocabularySize makes the tokens of two answers at the same offset differ with a probability of
	// 4095 in 4096.
	vocabularySize = 1 << 12
	// The natural length of an answer is minAnswerTokens to minAnswerTokens+answerTokensSpread-1 tokens.
	minAnswerTokens    = 16
	answerTokensSpread = 2032
)

// Finish reasons.
const (
	FinishLength = "length"
	FinishStop   = "stop"
)

// vocabulary holds the tokens. Each one is a space and a word, so an answer has as many words as
// tokens.
var vocabulary = func() (v [vocabularySize]string) {
	for i := range v {
		v[i] = fmt.Sprintf(" t%03x", i)
	}
	return v
}()

// answerKey returns a hash of the model, adapter, prompt and seed, which determine the answer.
func answerKey(r *external.GenerateRequest) uint64 {
	d := enginewire.NewModelDigest(r.Model, r.Adapter)
	_, _ = d.WriteString(r.Prompt)
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], r.Seed)
	_, _ = d.Write(seed[:])
	return d.Sum64()
}

// splitMix64 returns the SplitMix64 hash of x.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// token returns the token at an offset of an answer.
func token(key uint64, offset int) string {
	return vocabulary[splitMix64(key+uint64(offset))%vocabularySize]
}

// answerLength returns the length of an answer in tokens and its finish reason.
func answerLength(key uint64, maxTokens int) (int, string) {
	natural := minAnswerTokens + int(splitMix64(^key)%answerTokensSpread)
	if natural < maxTokens {
		return natural, FinishStop
	}
	return maxTokens, FinishLength
}

// joinTokens returns the text of the tokens in the offset range [from, end).
func joinTokens(key uint64, from, end int) string {
	if end == from+1 {
		return token(key, from)
	}
	var b strings.Builder
	b.Grow((end - from) * len(vocabulary[0]))
	for i := from; i < end; i++ {
		b.WriteString(token(key, i))
	}
	return b.String()
}

// Answer returns the whole answer that every simulated engine generates for a request, its length in
// tokens and its finish reason. Tests compare delivered answers with it.
func Answer(r *external.GenerateRequest) (text string, length int, finish string) {
	key := answerKey(r)
	length, finish = answerLength(key, r.MaxTokens)
	return joinTokens(key, 0, length), length, finish
}
