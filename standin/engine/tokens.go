package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/enginewire"
)

const (
	// vocabularySize makes tokens of two answers differ at the same offset with 4095 in 4096.
	vocabularySize = 1 << 12
	// Answers stop by themselves after minAnswer to minAnswer+answerSpread-1 tokens.
	minAnswer    = 16
	answerSpread = 2032
)

// Finish reasons.
const (
	FinishLength = "length"
	FinishStop   = "stop"
)

// Each token is a space and a word, so an answer has as many words as tokens.
var vocabulary = func() (v [vocabularySize]string) {
	for i := range v {
		v[i] = fmt.Sprintf(" t%03x", i)
	}
	return v
}()

// answerKey identifies the answer to a model, adapter, prompt and seed.
func answerKey(r *external.GenerateRequest) uint64 {
	d := enginewire.NewAnswerDigest(r.Model, r.Adapter)
	_, _ = d.WriteString(r.Prompt)
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], r.Seed)
	_, _ = d.Write(seed[:])
	return d.Sum64()
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// token returns the token at an offset of an answer.
func token(key uint64, offset int) string {
	return vocabulary[mix(key+uint64(offset))%vocabularySize]
}

// answerLength returns the length in tokens and the finish reason of an answer.
func answerLength(key uint64, maxTokens int) (int, string) {
	natural := minAnswer + int(mix(^key)%answerSpread)
	if natural < maxTokens {
		return natural, FinishStop
	}
	return maxTokens, FinishLength
}

// tokens returns the text of the tokens from an offset up to an end.
func tokens(key uint64, from, end int) string {
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

// Answer returns the whole answer that any engine gives to a request, its length in tokens and
// its finish reason. Checkers compare delivered answers with it.
func Answer(r *external.GenerateRequest) (text string, length int, finish string) {
	key := answerKey(r)
	length, finish = answerLength(key, r.MaxTokens)
	return tokens(key, 0, length), length, finish
}
